#include "node/LogPace.h"

#include <algorithm>
#include <chrono>

namespace swiftlift::node {

namespace {

    using namespace std::chrono_literals;

    /** Part of the log's rate that paced reads use; the rest is for starts, expedited reads and retries. */
    constexpr double pacedReadShare = 0.7;
    /** Part of the log's rate that routine appends use; the rest is for appends that a caller waits for. */
    constexpr double routineAppendShare = 0.4;
    /** Reads per second of the streams that change seldom: long polls that return without records. */
    constexpr double quietReadsPerSecond = 2;
    /** A router reads its busy streams at least so often, whatever the fleet's size: otherwise its view is useless. */
    constexpr double minBusyReadsPerSecond = 1;
    /** Part of the busy reads for the ledger; the others are for the backend servers. */
    constexpr double ledgerShare = 0.6;
    /** A server that leaves may get new requests for 2 s, half of which may pass until it is read. */
    constexpr Duration maxServersPause = 1s;
    constexpr Duration maxLedgerPause = 2s;
    constexpr Duration maxAppendPeriod = 5s;
    /** Part of the log's rate that checks of lists may use; callers wait for them. */
    constexpr double checkShare = 0.15;
    constexpr Duration maxCheckPeriod = 1500ms;

    [[nodiscard]] Duration periodOf(double callsPerSecond)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / callsPerSecond));
    }

    [[nodiscard]] Duration stretched(Duration least, Duration needed, Duration most)
    {
        return std::max(least, std::min(needed, most));
    }

} // namespace

LogPace::LogPace(const LogRates& rates)
    : rates_(rates)
{
}

std::optional<double> LogPace::busyReads(std::uint32_t routers) const
{
    if (rates_.reads <= 0) {
        return std::nullopt;
    }
    const double ofOneRouter = pacedReadShare * rates_.reads / std::max(routers, 1U);
    return std::max(ofOneRouter - quietReadsPerSecond, minBusyReadsPerSecond);
}

Duration LogPace::ledgerPause(Duration least, std::uint32_t routers) const
{
    const auto reads = busyReads(routers);
    return reads ? stretched(least, periodOf(*reads * ledgerShare), maxLedgerPause) : least;
}

Duration LogPace::serversPause(Duration least, std::uint32_t routers) const
{
    const auto reads = busyReads(routers);
    return reads ? stretched(least, periodOf(*reads * (1 - ledgerShare)), maxServersPause) : least;
}

Duration LogPace::checkPeriod(Duration least, std::uint32_t routers) const
{
    if (rates_.reads <= 0) {
        return least;
    }
    return stretched(least, periodOf(checkShare * rates_.reads / std::max(routers, 1U)), maxCheckPeriod);
}

Duration LogPace::appendPeriod(Duration least, std::uint32_t routers) const
{
    if (rates_.appends <= 0) {
        return least;
    }
    const double ofOneRouter = routineAppendShare * rates_.appends / std::max(routers, 1U);
    return stretched(least, periodOf(ofOneRouter), maxAppendPeriod);
}

} // namespace swiftlift::node
