#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "swiftlift/routing/BackendTable.h"
#include "swiftlift/routing/Selector.h"

namespace swiftlift::routing {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    const ServiceName service { "model" };

    /** Size and load of a fleet. */
    struct LoadPattern {
        std::size_t routers = 6;
        std::size_t servers = 18;
        int requestsPerSecond = 160;
        /** Servers that name a limit: the first ones. */
        std::size_t limited = 5;
        double limit = 2.5;
        /** Peers that a router sends a heartbeat to in each period; 0: routers can't reach each other. */
        std::size_t heartbeatPeers = 8;
    };

    /** Routers that each choose by their own table; servers that name a limit in the heads of their answers. */
    class LimitedLoad {
    public:
        explicit LimitedLoad(const LoadPattern& pattern)
            : pattern_(pattern)
        {
            for (std::size_t index = 0; index < pattern_.routers; ++index) {
                addresses_.emplace_back("10.0.0." + std::to_string(index) + ":7400");
            }
            for (std::size_t index = 0; index < pattern_.routers; ++index) {
                tables_.emplace_back();
                SelectorSettings settings;
                settings.domain = domainOf(index);
                settings.seed = index + 1;
                selectors_.push_back(makeSelector("rendezvous", settings));
                tables_.back().setRouters(addresses_[index], addresses_, now_);
                tables_.back().setBackends(service, entries(), now_);
            }
        }

        /** Sends requests for this long. */
        void run(Duration time)
        {
            const auto gap = std::chrono::duration_cast<Duration>(seconds(1)) / pattern_.requestsPerSecond;
            for (const Instant end = now_ + time; now_ < end; now_ += gap) {
                finishDue();
                exchangeHeartbeats();
                send(random_() % pattern_.routers);
            }
        }

        void withdrawLimits() { named_ = false; }
        /** A restarted router has forgotten all that it knew. */
        void restartRouter(std::size_t index)
        {
            tables_[index] = BackendTable();
            tables_[index].setRouters(addresses_[index], addresses_, now_);
            tables_[index].setBackends(service, entries(), now_);
        }

        [[nodiscard]] std::size_t sentTo(std::size_t server, Instant from) const
        {
            const auto found = arrivals_.find(serverId(server));
            return found == arrivals_.end() ? 0
                                            : static_cast<std::size_t>(std::ranges::count_if(
                                                found->second, [&](Instant at) { return at >= from; }));
        }

        /** @return Most requests that a limited server got within 4 s that begin at `from` or later. */
        [[nodiscard]] std::size_t mostInFourSeconds(Instant from) const
        {
            std::size_t most = 0;
            for (std::size_t server = 0; server < pattern_.limited; ++server) {
                std::deque<Instant> window;
                const auto found = arrivals_.find(serverId(server));
                for (const Instant at : found == arrivals_.end() ? std::vector<Instant> {} : found->second) {
                    if (at < from) {
                        continue;
                    }
                    window.push_back(at);
                    while (at - window.front() > seconds(4)) {
                        window.pop_front();
                    }
                    most = std::max(most, window.size());
                }
            }
            return most;
        }

        [[nodiscard]] Instant now() const { return now_; }
        [[nodiscard]] std::size_t refused() const { return refused_; }

    private:
        static constexpr Duration heartbeatPeriod = milliseconds(500);
        /** Time from sending a request to the head, and to the end, of its answer. */
        static constexpr Duration headAfter = milliseconds(80);
        static constexpr Duration endAfter = milliseconds(900);

        struct Running {
            std::size_t router = 0;
            BackendId server;
            AttemptId attempt;
            Announcement announcement;
        };

        [[nodiscard]] static BackendId serverId(std::size_t index) { return BackendId { "s" + std::to_string(index) }; }
        [[nodiscard]] static FailureDomain domainOf(std::size_t index)
        {
            return FailureDomain { "d" + std::to_string(index % 4) };
        }

        [[nodiscard]] std::vector<BackendEntry> entries() const
        {
            std::vector<BackendEntry> list;
            for (std::size_t index = 0; index < pattern_.servers; ++index) {
                list.push_back({ serverId(index), domainOf(index), 32 });
            }
            return list;
        }

        [[nodiscard]] Announcement announcementOf(const BackendId& server) const
        {
            const bool limited = named_ && std::stoul(server.value().substr(1)) < pattern_.limited;
            return { limited ? std::optional(pattern_.limit) : std::nullopt, false, {} };
        }

        void send(std::size_t router)
        {
            SelectRequest request;
            request.service = service;
            request.prefixHash = 1 + random_() % 200;
            request.sharedTokens = Tokens { 5'000 };
            request.promptTokens = Tokens { 500 };
            const auto choice = selectors_[router]->choose(request, tables_[router], now_);
            if (!choice) {
                ++refused_;
                return;
            }
            const AttemptId attempt { ++attempts_ };
            tables_[router].onDispatched(choice->backend, attempt, {}, now_);
            arrivals_[choice->backend].push_back(now_);
            const Running running { router, choice->backend, attempt, announcementOf(choice->backend) };
            heads_.emplace(now_ + headAfter, running);
            ends_.emplace(now_ + endAfter, running);
        }

        void finishDue()
        {
            while (!heads_.empty() && heads_.begin()->first <= now_) {
                const Running& head = heads_.begin()->second;
                if (!head.announcement.empty()) {
                    tables_[head.router].onAnnounced(head.server, head.announcement, now_);
                }
                heads_.erase(heads_.begin());
            }
            while (!ends_.empty() && ends_.begin()->first <= now_) {
                const Running& ended = ends_.begin()->second;
                tables_[ended.router].onFinished(
                    ended.server, ended.attempt, { EndKind::Completed, {}, {}, ended.announcement }, now_);
                ends_.erase(ends_.begin());
            }
        }

        void exchangeHeartbeats()
        {
            if (now_ < nextHeartbeat_) {
                return;
            }
            nextHeartbeat_ = now_ + heartbeatPeriod;
            for (const BackendTable& table : tables_) {
                const auto shared = table.toShare(now_);
                for (std::size_t count = 0; count < pattern_.heartbeatPeers; ++count) {
                    tables_[random_() % tables_.size()].onShared(shared, now_);
                }
            }
        }

        LoadPattern pattern_;
        std::vector<PeerAddress> addresses_;
        std::vector<BackendTable> tables_;
        std::vector<std::unique_ptr<Selector>> selectors_;
        std::mt19937_64 random_ { 7 };
        Instant now_ { seconds(100) };
        Instant nextHeartbeat_ {};
        bool named_ = true;
        std::uint64_t attempts_ = 0;
        std::size_t refused_ = 0;
        std::map<BackendId, std::vector<Instant>> arrivals_;
        std::multimap<Instant, Running> heads_;
        std::multimap<Instant, Running> ends_;
    };

    /** @return Requests in 4 s from which on the users count a server as given too much. */
    std::size_t allowed(double limit) { return static_cast<std::size_t>(1.5 * limit * 4 + 5); }

    constexpr Duration contactTime = seconds(3);

    const std::vector<LoadPattern> patterns {
        { 6, 18, 160, 5, 2.5 },
        { 6, 18, 160, 5, 1.9 },
        { 6, 18, 160, 5, 0.2 },
        { 6, 18, 160, 18, 2.5 },
        { 59, 140, 594, 35, 1.5 },
        { 59, 140, 594, 35, 1.0 },
        { 59, 140, 1010, 35, 2.5 },
    };

    // Guards against a server in need that gets more requests from all routers together than the limit that it names.
    TEST(AnnouncedLimit, ServersGetNoMoreThanTheirLimitFromTheWholeFleet)
    {
        for (const LoadPattern& pattern : patterns) {
            LimitedLoad load(pattern);
            const Instant start = load.now();
            load.run(seconds(15));
            EXPECT_LE(load.mostInFourSeconds(start + contactTime), allowed(pattern.limit))
                << pattern.routers << " routers, limit " << pattern.limit;
            const bool othersHaveRoom = pattern.limited < pattern.servers;
            EXPECT_TRUE(load.refused() == 0 || !othersHaveRoom) << "servers without a limit take the rest";
        }
    }

    // Guards against limits that are kept by serving nothing.
    TEST(AnnouncedLimit, ServersGetAGoodPartOfWhatTheyAccept)
    {
        for (const LoadPattern& pattern : patterns) {
            LimitedLoad load(pattern);
            load.run(seconds(5));
            const Instant from = load.now();
            load.run(seconds(10));
            std::size_t sent = 0;
            for (std::size_t server = 0; server < pattern.limited; ++server) {
                sent += load.sentTo(server, from);
            }
            const double accepted = pattern.limit * 10 * static_cast<double>(pattern.limited);
            RecordProperty("used_percent_" + std::to_string(pattern.routers) + "_" + std::to_string(pattern.limit),
                static_cast<int>(100.0 * static_cast<double>(sent) / accepted));
            EXPECT_GE(static_cast<double>(sent), 0.4 * accepted)
                << pattern.routers << " routers, limit " << pattern.limit << ": " << sent << " of " << accepted;
        }
    }

    // Guards against routers that were never told by a server, or forgot it in a restart, and send as if it were idle.
    TEST(AnnouncedLimit, RestartedRouterLearnsLimitsFromItsPeers)
    {
        LoadPattern pattern { 6, 18, 160, 5, 1.0 };
        LimitedLoad load(pattern);
        load.run(seconds(6));
        for (int restart = 0; restart < 6; ++restart) {
            const Instant from = load.now();
            load.restartRouter(static_cast<std::size_t>(restart));
            load.run(seconds(4));
            EXPECT_LE(load.mostInFourSeconds(from), allowed(pattern.limit));
        }
    }

    // Guards against more than the limit while routers can't see each other, as each divides by the registered ones.
    TEST(AnnouncedLimit, HoldsWhileRoutersAreCutOffFromEachOther)
    {
        LoadPattern pattern { 6, 18, 160, 5, 2.5, 0 };
        LimitedLoad load(pattern);
        load.run(seconds(8));
        const Instant from = load.now();
        load.run(seconds(10));
        EXPECT_LE(load.mostInFourSeconds(from), allowed(pattern.limit));
    }

    // Guards against a server that no longer names a limit and goes on getting a few requests only.
    TEST(AnnouncedLimit, EndOfALimitIsNoticedByTheWholeFleet)
    {
        for (const LoadPattern& pattern : patterns) {
            LimitedLoad load(pattern);
            load.run(seconds(6));
            load.withdrawLimits();
            load.run(seconds(12));
            const Instant from = load.now();
            load.run(seconds(10));
            LoadPattern without = pattern;
            without.limited = 0;
            LimitedLoad usual(without);
            usual.run(seconds(10));
            for (std::size_t server = 0; server < pattern.limited; ++server) {
                EXPECT_GE(load.sentTo(server, from), usual.sentTo(server, Instant {}) / 2)
                    << "server " << server << ", " << pattern.routers << " routers, limit " << pattern.limit;
            }
        }
    }

    // Guards against requests that wait for a connection to a cut off domain just to learn whether a limit still holds.
    TEST(AnnouncedLimit, LimitsInUnreachableDomainsAreNotConfirmed)
    {
        const PeerAddress self { "10.0.0.1:7400" };
        const Instant start { seconds(100) };
        const BackendId limited { "s1" };
        BackendTable table;
        table.setRouters(self, { self }, start);
        table.setBackends(service,
            { { limited, FailureDomain { "d1" }, 32 }, { BackendId { "s2" }, FailureDomain { "d2" }, 32 } }, start);
        table.onAnnounced(limited, { 100.0, false, {} }, start);
        SelectorSettings settings;
        settings.domain = FailureDomain { "d2" };
        const auto selector = makeSelector("rendezvous", settings);
        SelectRequest request;
        request.service = service;
        const auto choices = [&] {
            int count = 0;
            for (int number = 0; number < 200; ++number) {
                count += selector->choose(request, table, start + seconds(10))->backend == limited ? 1 : 0;
            }
            return count;
        };
        EXPECT_GT(choices(), 0);
        request.unreachableDomains.insert(FailureDomain { "d1" });
        EXPECT_EQ(choices(), 0);
    }

} // namespace
} // namespace swiftlift::routing
