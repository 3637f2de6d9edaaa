#pragma once

#include <string>

#include "ctl/Log.h"

namespace swiftlift::ctl {

/** Reads a stream of the log into a fold, up to the stream's end. */
class StreamReader {
public:
    StreamReader(Log& log, StreamName stream);
    virtual ~StreamReader() = default;
    StreamReader(const StreamReader&) = delete;
    StreamReader& operator=(const StreamReader&) = delete;

    /**
     * @brief Reads up to the end of the stream, starting where the last call ended.
     * @param wait How long the log waits for the first record if there is none.
     * @return false if the log gave no answer or the records have a gap; see lastReason().
     */
    [[nodiscard]] bool catchUp(Duration wait = {});

    [[nodiscard]] const StreamName& stream() const noexcept { return stream_; }
    [[nodiscard]] const std::string& lastReason() const noexcept { return lastReason_; }

protected:
    /** @return Offset of the next record to read. */
    [[nodiscard]] virtual Offset readFrom() const = 0;
    /** @return false, after a call of fail(), if the record can't be applied. */
    [[nodiscard]] virtual bool apply(Offset offset, const std::string& record) = 0;
    /** @brief Restarts at `oldest` because earlier records have expired; a checkpoint has to be found from there on. */
    virtual void startFrom(Offset oldest) = 0;
    /** @return True while the reader searches for a checkpoint after startFrom(). */
    [[nodiscard]] virtual bool seeking() const = 0;

    /** @brief Stores the reason for lastReason(). @return Always false. */
    bool fail(std::string reason);

private:
    [[nodiscard]] bool applyAll(const ReadRecords& read);

    Log& log_;
    StreamName stream_;
    std::string lastReason_;
};

} // namespace swiftlift::ctl
