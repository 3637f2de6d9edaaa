#include "common/LoadReport.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "common/Signal.h"

namespace swiftlift::standins {

namespace internal {

    constexpr Milliseconds sampleInterval { 20 };

    std::uint64_t startTime()
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
    }

} // namespace internal

LoadReport::LoadReport(std::function<Json()> current)
    : current_(std::move(current))
    , generation_(internal::startTime())
    , history_(now())
{
}

void LoadReport::start(asio::io_context& context) { asio::co_spawn(context, sample(), asio::detached); }

Json LoadReport::now() const
{
    auto report = current_();
    report["generation"] = generation_;
    return report;
}

Json LoadReport::seen(Milliseconds lag)
{
    if (lag.count() <= 0) {
        return now();
    }
    return history_.seen(toClock(lag));
}

Awaitable<void> LoadReport::sample()
{
    while (true) {
        if (auto report = now(); report != history_.current()) {
            history_.set(std::move(report));
        }
        co_await sleepFor(internal::sampleInterval);
    }
}

} // namespace swiftlift::standins
