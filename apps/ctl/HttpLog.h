#pragma once

#include <string>
#include <vector>

#include "ctl/Http.h"
#include "ctl/Log.h"
#include "swiftlift/settings/Endpoint.h"

namespace swiftlift::ctl {

/** Client of the platform's log over HTTP. Tries its endpoints in turn, starting with the last one that answered. */
class HttpLog final : public Log {
public:
    HttpLog(std::vector<settings::Endpoint> endpoints, Duration timeout);

    [[nodiscard]] bool append(const StreamName& stream, const std::string& record) override;
    [[nodiscard]] ReadAnswer read(const StreamName& stream, Offset from, Duration wait) override;
    [[nodiscard]] const std::string& lastReason() const noexcept override { return lastReason_; }

private:
    [[nodiscard]] ReadAnswer readReply(const HttpReply& reply);
    void useNextEndpoint() noexcept;

    std::vector<settings::Endpoint> endpoints_;
    std::size_t current_ = 0;
    Http http_;
    std::string lastReason_;
};

} // namespace swiftlift::ctl
