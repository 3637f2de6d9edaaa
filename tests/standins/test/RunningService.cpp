#include "RunningService.h"

#include <gtest/gtest.h>
#include <sstream>

namespace swiftlift::standins {

namespace internal {

    constexpr std::chrono::seconds longBound { 60 };
    constexpr std::chrono::milliseconds pollInterval { 5 };

} // namespace internal

RunningService::RunningService(std::unique_ptr<Service> service)
    : service_(std::move(service))
    , server_(context_, parseEndpoint("127.0.0.1:0"), *service_)
    , endpoint_(server_.endpoint())
{
    server_.start();
    thread_ = std::thread([this] { context_.run(); });
}

RunningService::~RunningService()
{
    context_.stop();
    thread_.join();
}

std::string RunningService::address() const
{
    std::ostringstream text;
    text << endpoint_;
    return text.str();
}

Json RunningService::control(const Json& change) const
{
    const auto reply = client().call({ .body = change.dump(), .target = "/control", .headers = {} });
    if (!reply || reply->status != 200) {
        ADD_FAILURE() << "control " << change << ": " << (reply ? reply->body : "no answer");
        return {};
    }
    return Json::parse(reply->body);
}

Json RunningService::get(const std::string& target) const
{
    const auto reply = client().call({ .body = {}, .target = target, .headers = {} });
    if (!reply) {
        ADD_FAILURE() << target << ": no answer";
        return {};
    }
    return Json::parse(reply->body);
}

bool RunningService::waitForAudit(const std::function<bool(const Json&)>& condition) const
{
    const auto deadline = Clock::now() + internal::longBound;
    while (Clock::now() < deadline) {
        if (condition(get())) {
            return true;
        }
        std::this_thread::sleep_for(internal::pollInterval);
    }
    return false;
}

} // namespace swiftlift::standins
