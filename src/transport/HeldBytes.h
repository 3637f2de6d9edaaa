#pragma once

#include <algorithm>
#include <cstddef>
#include <memory>
#include <utility>

namespace swiftlift::transport::internal {

/** Sum of the bytes that all connections of the streams thread hold. */
struct HeldTotal {
    std::size_t bytes = 0;
    /** Largest sum so far. */
    std::size_t most = 0;
};

/** The bytes that one object holds, as its part of a total. */
class HeldBytes {
public:
    explicit HeldBytes(std::shared_ptr<HeldTotal> total)
        : total_(std::move(total))
    {
    }

    ~HeldBytes() { set(0); }
    HeldBytes(const HeldBytes&) = delete;
    HeldBytes& operator=(const HeldBytes&) = delete;

    void set(std::size_t bytes)
    {
        total_->bytes = total_->bytes - std::exchange(bytes_, bytes) + bytes;
        total_->most = std::max(total_->most, total_->bytes);
    }

private:
    /** Shared, since handlers that are pending in the event loop may keep connections longer than the context. */
    std::shared_ptr<HeldTotal> total_;
    std::size_t bytes_ = 0;
};

} // namespace swiftlift::transport::internal
