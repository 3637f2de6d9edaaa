#pragma once

#include <optional>
#include <string>

#include "swiftlift/base/Units.h"
#include "swiftlift/settings/Endpoint.h"

namespace swiftlift::ctl {

struct HttpReply {
    int status = 0;
    std::string body;
};

/** Blocking HTTP client that uses a new connection for each call. Its calls don't throw. */
class Http {
public:
    /** @param timeout Timeout of connecting, and of each wait for the reply. */
    explicit Http(Duration timeout);

    /** @return The reply; `std::nullopt` if there was none, see lastReason(). */
    [[nodiscard]] std::optional<HttpReply> get(const settings::Endpoint& endpoint, const std::string& target);

    /** @return The reply; `std::nullopt` if there was none, in which case the call may still have taken effect. */
    [[nodiscard]] std::optional<HttpReply> post(
        const settings::Endpoint& endpoint, const std::string& target, const std::string& body);

    [[nodiscard]] const std::string& lastReason() const noexcept { return lastReason_; }

    /** @brief Extends the reply timeout of the next calls, for long polls. */
    void setExtraTime(Duration extra) noexcept { extra_ = extra; }

private:
    [[nodiscard]] std::optional<HttpReply> call(const settings::Endpoint& endpoint, const std::string& method,
        const std::string& target, const std::string& body);

    Duration timeout_;
    Duration extra_ {};
    std::string lastReason_;
};

} // namespace swiftlift::ctl
