#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "ctl/Log.h"
#include "ctl/PollTimer.h"
#include "ctl/Report.h"
#include "ctl/StreamReader.h"

namespace swiftlift::ctl {

/** The log and the retry state that every change is made with. */
struct ChangeContext {
    Log& log;
    PollTimer& pollTimer;
    /** Identifies the change. Random for a new change; a repeated command passes the id of its first run. */
    std::uint64_t id = 0;
};

/**
 * @brief Appends a record and reads the stream back until the record is found in it.
 *
 * If only the answer to an append counted, an operator would repeat a change whose answer was lost, and a budget would
 * show twice the tokens that were paid for. So the same record, with the same id, is appended until the log has
 * acknowledged it, and read until it is found in the stream; the fold counts each id once.
 *
 * @param reader Reads the stream that the record is appended to.
 * @param record The encoded record.
 * @param landed Returns true once the reader has found the record in the stream.
 * @return True if the record was found before the poll timer expired; otherwise the record may still land later.
 */
[[nodiscard]] bool submit(
    const ChangeContext& context, StreamReader& reader, const std::string& record, const std::function<bool()>& landed);

/** @return The report of a change that was not found in the log in time, so that its outcome is unknown. */
[[nodiscard]] Report unknownReport(const ChangeContext& context, const StreamReader& reader);

/** @return The report of a change that was not sent because reading the log failed first. */
[[nodiscard]] Report notSentReport(const StreamReader& reader);

} // namespace swiftlift::ctl
