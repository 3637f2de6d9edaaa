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
     * @brief Reads until nothing is left; goes on where the last call ended.
     * @param wait How long to wait for the first record.
     * @return false with `lastReason()` when the log gave no answer or the records make no whole prefix.
     */
    [[nodiscard]] bool catchUp(Duration wait = {});

    [[nodiscard]] const StreamName& stream() const noexcept { return stream_; }
    [[nodiscard]] const std::string& lastReason() const noexcept { return lastReason_; }

protected:
    /** @return Where reading goes on. */
    [[nodiscard]] virtual Offset readFrom() const = 0;
    /** @return false with fail() when the record can't be applied. */
    [[nodiscard]] virtual bool apply(Offset offset, const std::string& record) = 0;
    /** @brief Records below `oldest` are lost: from there on a checkpoint has to be found. */
    virtual void startFrom(Offset oldest) = 0;
    /** @return True while that checkpoint has not been found. */
    [[nodiscard]] virtual bool seeking() const = 0;

    /** @return false, with the reason kept. */
    bool fail(std::string reason);

private:
    [[nodiscard]] bool applyAll(const ReadRecords& read);

    Log& log_;
    StreamName stream_;
    std::string lastReason_;
};

} // namespace swiftlift::ctl
