#pragma once

#include <functional>
#include <memory>
#include <thread>

#include "HttpClient.h"
#include "common/HttpServer.h"
#include "common/Service.h"

namespace swiftlift::standins {

/** A stand-in run by a thread of the test, on a port of the system's choice. */
class RunningService {
public:
    explicit RunningService(std::unique_ptr<Service> service);
    ~RunningService();
    RunningService(const RunningService&) = delete;
    RunningService& operator=(const RunningService&) = delete;

    [[nodiscard]] Tcp::endpoint endpoint() const { return endpoint_; }
    /** @return The endpoint as `ip:port`. */
    [[nodiscard]] std::string address() const;
    /** @return A client with a connection of its own. */
    [[nodiscard]] HttpClient client() const { return HttpClient(endpoint_); }

    /** @return The reply to `POST /control`; the test fails unless it is 200. */
    Json control(const Json& change) const;
    /** @return The reply to `GET` of the path. */
    [[nodiscard]] Json get(const std::string& target = "/audit") const;
    /** Waits until the audit satisfies the condition. @return False when it doesn't within a minute. */
    [[nodiscard]] bool waitForAudit(const std::function<bool(const Json&)>& condition) const;

private:
    asio::io_context context_ { 1 };
    std::unique_ptr<Service> service_;
    HttpServer server_;
    Tcp::endpoint endpoint_;
    std::thread thread_;
};

} // namespace swiftlift::standins
