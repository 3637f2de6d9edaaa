#include "transport/ReadPacer.h"

#include <utility>

namespace swiftlift::transport::internal {

ReadPacer::ReadPacer(boost::asio::io_context& loop, std::chrono::milliseconds interval)
    : interval_(interval)
    , timer_(loop)
{
}

void ReadPacer::later(const std::shared_ptr<PacedReader>& reader)
{
    if (interval_.count() == 0) {
        reader->readNow();
        return;
    }
    pendingReaders_.push_back(reader);
    if (pendingReaders_.size() > 1) {
        return;
    }
    timer_.expires_after(interval_);
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            readAll();
        }
    });
}

void ReadPacer::readAll()
{
    for (const auto& pendingReader : std::exchange(pendingReaders_, {})) {
        if (const auto reader = pendingReader.lock()) {
            reader->readNow();
        }
    }
}

} // namespace swiftlift::transport::internal
