#include "swiftlift/ring/Wakeup.h"

#include <cassert>
#include <cstdint>

#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace swiftlift::ring {

Wakeup::Wakeup()
    : descriptor_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    assert(descriptor_ >= 0 && "no event file descriptor could be had");
}

Wakeup::~Wakeup() { ::close(descriptor_); }

void Wakeup::signal() noexcept
{
    if (signalled_.exchange(true)) {
        return;
    }
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto written = ::write(descriptor_, &one, sizeof one);
}

void Wakeup::consume() noexcept
{
    std::uint64_t count = 0;
    [[maybe_unused]] const auto got = ::read(descriptor_, &count, sizeof count);
    signalled_.store(false);
}

bool Wakeup::waitFor(std::chrono::milliseconds limit) const noexcept
{
    pollfd waited { descriptor_, POLLIN, 0 };
    return ::poll(&waited, 1, static_cast<int>(limit.count())) > 0;
}

} // namespace swiftlift::ring
