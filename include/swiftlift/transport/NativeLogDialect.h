#pragma once

#include "swiftlift/transport/LogDialect.h"

namespace swiftlift::transport {

/** The project's own log protocol, with protobuf bodies and without keyed streams; see docs/PROTOCOLS.md. */
class NativeLogDialect : public LogDialect {
public:
    [[nodiscard]] HttpRequest append(const node::Append& append) const override;
    [[nodiscard]] std::optional<LogProblem> appendProblem(const HttpResponse& answer) const override;
    [[nodiscard]] HttpRequest read(const LogPosition& position) const override;
    [[nodiscard]] std::variant<LogRead, LogGone, LogProblem> readAnswer(
        const HttpResponse& answer, Offset from) const override;
    [[nodiscard]] HttpRequest newest(const StreamName& stream, const std::string& after) const override;
    [[nodiscard]] std::variant<NewestRead, LogProblem> newestAnswer(const HttpResponse& answer) const override;
    [[nodiscard]] std::optional<node::KeyedRecord> keyedRecord(Offset offset, const std::string& record) const override;
};

} // namespace swiftlift::transport
