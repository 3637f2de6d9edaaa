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

/** One HTTP call at a time, each on its own connection. Never throws. */
class Http {
public:
    /** @param timeout Of connecting, and of each wait for the answer. */
    explicit Http(Duration timeout);

    /** @return The reply; nothing with `lastReason()` when none came. */
    [[nodiscard]] std::optional<HttpReply> get(const settings::Endpoint& endpoint, const std::string& target);

    /** @return As get(); without a reply the call may have taken effect all the same. */
    [[nodiscard]] std::optional<HttpReply> post(
        const settings::Endpoint& endpoint, const std::string& target, const std::string& body);

    [[nodiscard]] const std::string& lastReason() const noexcept { return lastReason_; }

    /** @brief Gives the next calls this much more time than the timeout, for long polls. */
    void setExtraTime(Duration extra) noexcept { extra_ = extra; }

private:
    [[nodiscard]] std::optional<HttpReply> call(const settings::Endpoint& endpoint, const std::string& method,
        const std::string& target, const std::string& body);

    Duration timeout_;
    Duration extra_ {};
    std::string lastReason_;
};

} // namespace swiftlift::ctl
