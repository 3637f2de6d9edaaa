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
    assert(descriptor_ >= 0 && "eventfd() returned no event file descriptor");
}

Wakeup::~Wakeup() { ::close(descriptor_); }

void Wakeup::signal() noexcept
{
    if (signalled_.exchange(true)) {
        return;
    }
    const std::uint64_t increment = 1;
    [[maybe_unused]] const auto bytesWritten = ::write(descriptor_, &increment, sizeof increment);
}

void Wakeup::consume() noexcept
{
    std::uint64_t count = 0;
    [[maybe_unused]] const auto bytesRead = ::read(descriptor_, &count, sizeof count);
    signalled_.store(false);
}

bool Wakeup::waitFor(std::chrono::milliseconds timeout) const noexcept
{
    pollfd descriptor { descriptor_, POLLIN, 0 };
    return ::poll(&descriptor, 1, static_cast<int>(timeout.count())) > 0;
}

} // namespace swiftlift::ring
