#include "node/LogPace.h"

#include <gtest/gtest.h>

namespace swiftlift::node {
namespace {

    using std::chrono::milliseconds;

    constexpr LogRates rates { 2'000, 600 };
    constexpr Duration ledgerPause = milliseconds(300);
    constexpr Duration serversPause = milliseconds(600);
    constexpr Duration checkPeriod = milliseconds(20);
    constexpr Duration batchPeriod = milliseconds(500);
    /** Configuration, VMs and crash reports. */
    constexpr double quietReads = 2;

    double perSecond(Duration period) { return 1 / std::chrono::duration<double>(period).count(); }

    double readsOf(const LogPace& pace, std::uint32_t routers)
    {
        return routers
            * (quietReads + perSecond(pace.ledgerPause(ledgerPause, routers))
                + perSecond(pace.serversPause(serversPause, routers))
                + perSecond(pace.checkPeriod(checkPeriod, routers)));
    }

    // Guards against a fleet whose calls beyond the log's rates are refused, so that it serves no request with tokens.
    TEST(LogPace, CallsOfTheWholeFleetStayWithinTheRates)
    {
        const LogPace pace(rates);
        for (const std::uint32_t routers : { 6U, 30U, 100U, 200U, 300U, 400U }) {
            EXPECT_LE(readsOf(pace, routers), rates.reads) << routers;
            EXPECT_LE(routers * perSecond(pace.appendPeriod(batchPeriod, routers)), rates.appends) << routers;
        }
        EXPECT_GT(readsOf(LogPace({}), 300), rates.reads) << "the load shows the limit";
        EXPECT_GT(300 * perSecond(LogPace({}).appendPeriod(batchPeriod, 300)), 0.9 * rates.appends);
    }

    TEST(LogPace, SmallFleetIsNotSlowed)
    {
        const LogPace pace(rates);
        EXPECT_EQ(pace.ledgerPause(ledgerPause, 81), ledgerPause);
        EXPECT_EQ(pace.serversPause(serversPause, 81), serversPause);
        EXPECT_EQ(pace.appendPeriod(batchPeriod, 81), batchPeriod);
    }

    // Guards against new requests to a server that leaves: it may get them for 2 s.
    TEST(LogPace, ServersAreReadWithinASecondWhateverTheSize)
    {
        EXPECT_LE(LogPace(rates).serversPause(serversPause, 10'000), std::chrono::seconds(1));
    }

} // namespace
} // namespace swiftlift::node
