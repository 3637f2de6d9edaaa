#include "ctl/Change.h"

#include "swiftlift/transport/Hashing.h"

namespace swiftlift::ctl {

bool submit(
    const ChangeContext& context, StreamReader& reader, const std::string& record, const std::function<bool()>& landed)
{
    bool answered = false;
    do {
        answered = answered || context.log.append(reader.stream(), record);
        if (reader.catchUp() && landed()) {
            return true;
        }
    } while (context.pollTimer.waitForNextAttempt());
    return false;
}

Report unknownReport(const ChangeContext& context, const StreamReader& reader)
{
    const auto id = transport::toHex(context.id);
    const auto reason = reader.lastReason().empty() ? context.log.lastReason() : reader.lastReason();
    const std::string text = "outcome unknown: the change may have landed, or may still land (" + reason
        + ").\nRun the same command again with --id " + id + ": the change is then made once at most.\n";
    return { ExitCode::Unreachable, text, { { "outcome", "unknown" }, { "reason", reason }, { "id", id } } };
}

Report notSentReport(const StreamReader& reader)
{
    return failure(
        ExitCode::Unreachable, "not_sent", "the log cannot be read, nothing was sent: " + reader.lastReason());
}

} // namespace swiftlift::ctl
