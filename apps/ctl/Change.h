#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "ctl/Log.h"
#include "ctl/Patience.h"
#include "ctl/Report.h"
#include "ctl/StreamReader.h"

namespace swiftlift::ctl {

/** What every change needs. */
struct ChangeContext {
    Log& log;
    Patience& patience;
    /** Identifies the change: random, and the same when the change is asked for again. */
    std::uint64_t id = 0;
};

/**
 * @brief Appends a record and reads the stream back until the record is found in it.
 *
 * What goes wrong without the reading back: the answer to an append is lost, the operator takes the change for failed
 * and makes it again; a budget then shows twice the tokens that were paid for. So the same record, with the same id, is
 * appended until it is read back, and the fold counts the id once.
 *
 * @param landed Whether the record has been read back.
 * @return Whether it has been read back before patience ended; if not, it may still land.
 */
[[nodiscard]] bool submit(
    const ChangeContext& context, StreamReader& reader, const std::string& record, const std::function<bool()>& landed);

/** @return The report of a change that was neither admitted nor refused in time. */
[[nodiscard]] Report unknownReport(const ChangeContext& context, const StreamReader& reader);

/** @return The report of a change that was not sent, because the log could not be read before. */
[[nodiscard]] Report notSentReport(const StreamReader& reader);

} // namespace swiftlift::ctl
