#include <algorithm>
#include <deque>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "swiftlift/routing/BackendTable.h"
#include "swiftlift/routing/Selector.h"

namespace swiftlift::routing {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    const ServiceName service { "app" };

    /** Size and load of a fleet whose servers are brittle. */
    struct BrittlePattern {
        std::size_t routers = 6;
        std::size_t servers = 4;
        /** Requests that a server runs at once, and that may wait there. */
        std::size_t room = 8;
        /** Requests that a server can turn away in a second. */
        double bearable = 5;
        int requestsPerSecond = 200;
        Duration work = milliseconds(60);
        /** False: the servers don't say that they are brittle. */
        bool stated = true;
    };

    /** Routers that each choose by their own table, and servers that turn away what they have no room for. */
    class BrittleLoad {
    public:
        explicit BrittleLoad(const BrittlePattern& pattern)
            : pattern_(pattern)
        {
            for (std::size_t index = 0; index < pattern_.routers; ++index) {
                addresses_.emplace_back("10.0.0." + std::to_string(index) + ":7400");
            }
            for (std::size_t index = 0; index < pattern_.routers; ++index) {
                SelectorSettings settings;
                settings.seed = index + 1;
                selectors_.push_back(makeSelector("rendezvous", settings));
                TableSettings table;
                table.polled = false;
                tables_.emplace_back(table);
                tables_.back().setRouters(addresses_[index], addresses_, now_);
                tables_.back().setBackends(service, entries(), now_);
            }
        }

        /** Sends requests for this long, `factor` times as many as usual. */
        void run(Duration time, int factor = 1)
        {
            const auto most = static_cast<std::size_t>(static_cast<double>(pattern_.servers * pattern_.room)
                / std::chrono::duration<double>(pattern_.work).count());
            const auto sent = static_cast<std::size_t>(pattern_.requestsPerSecond) * static_cast<std::size_t>(factor);
            servable_ += std::min(most, sent) * static_cast<std::size_t>(time / seconds(1));
            const auto gap = std::chrono::duration_cast<Duration>(seconds(1)) / (pattern_.requestsPerSecond * factor);
            for (const Instant end = now_ + time; now_ < end; now_ += gap) {
                handleDue();
                send(random_() % pattern_.routers);
            }
        }

        void setBrittle(bool brittle) { brittle_ = brittle; }
        /** @return Times that a server had to turn more requests away in a second than it bears. */
        [[nodiscard]] std::size_t falls() const noexcept { return falls_; }
        [[nodiscard]] std::size_t served() const noexcept { return served_; }
        /** @return Requests that the servers have room for, of those that were sent. */
        [[nodiscard]] std::size_t servable() const noexcept { return servable_; }
        [[nodiscard]] std::size_t refused() const noexcept { return refused_; }

    private:
        static constexpr Duration oneWay = milliseconds(2);

        enum class Step : std::uint8_t { Arrives, Ends, TurnedAway, Answered, News };

        struct Due {
            Instant at {};
            Step step = Step::Arrives;
            std::size_t router = 0;
            std::size_t server = 0;
            AttemptId attempt;
            std::vector<SharedAnnouncement> news {};

            [[nodiscard]] bool operator<(const Due& other) const { return at > other.at; }
        };

        [[nodiscard]] static BackendId serverId(std::size_t index) { return BackendId { "s" + std::to_string(index) }; }

        [[nodiscard]] std::vector<BackendEntry> entries() const
        {
            std::vector<BackendEntry> list;
            for (std::size_t index = 0; index < pattern_.servers; ++index) {
                list.push_back({ serverId(index), FailureDomain { "d" }, 8 });
            }
            return list;
        }

        [[nodiscard]] Announcement announcement() const
        {
            Announcement stated;
            stated.brittle = brittle_ && pattern_.stated ? std::optional(pattern_.bearable) : std::nullopt;
            return stated;
        }

        void send(std::size_t router)
        {
            SelectRequest request;
            request.service = service;
            const auto choice = selectors_[router]->choose(request, tables_[router], now_);
            if (!choice) {
                ++refused_;
                return;
            }
            const AttemptId attempt { ++lastAttempt_ };
            tables_[router].onDispatched(choice->backend, attempt, {}, now_);
            const std::size_t server = std::stoul(choice->backend.value().substr(1));
            due_.push({ now_ + oneWay, Step::Arrives, router, server, attempt });
        }

        void handleDue()
        {
            while (!due_.empty() && due_.top().at <= now_) {
                const Due due = due_.top();
                due_.pop();
                handle(due);
            }
        }

        void handle(const Due& due)
        {
            const BackendId server = serverId(due.server);
            BackendTable& table = tables_[due.router];
            switch (due.step) {
            case Step::Arrives:
                arrive(due);
                break;
            case Step::Ends:
                --running_[due.server];
                due_.push({ due.at + oneWay, Step::Answered, due.router, due.server, due.attempt });
                break;
            case Step::TurnedAway:
            case Step::Answered: {
                const bool served = due.step == Step::Answered;
                table.onAnnounced(server, announcement(), due.at);
                const EndKind kind = served ? EndKind::Completed : EndKind::NotStarted;
                table.onFinished(server, due.attempt, { kind, {}, {}, announcement() }, due.at);
                served_ += served ? 1 : 0;
                tellPeers(due.router, due.at);
                break;
            }
            case Step::News:
                table.onShared(due.news, due.at);
                break;
            }
        }

        void arrive(const Due& due)
        {
            if (running_[due.server] < pattern_.room) {
                ++running_[due.server];
                due_.push({ due.at + pattern_.work, Step::Ends, due.router, due.server, due.attempt });
                return;
            }
            due_.push({ due.at + oneWay, Step::TurnedAway, due.router, due.server, due.attempt });
            if (!brittle_) {
                return;
            }
            std::deque<Instant>& times = turnedAway_[due.server];
            times.push_back(due.at);
            while (due.at - times.front() > seconds(1)) {
                times.pop_front();
            }
            if (static_cast<double>(times.size()) > pattern_.bearable) {
                ++falls_;
                times.clear();
            }
        }

        void tellPeers(std::size_t router, Instant at)
        {
            if (!tables_[router].takeUrgentNews()) {
                return;
            }
            const auto news = tables_[router].toShare(at);
            for (std::size_t peer = 0; peer < pattern_.routers; ++peer) {
                if (peer != router) {
                    due_.push({ at + oneWay, Step::News, peer, 0, {}, news });
                }
            }
        }

        BrittlePattern pattern_;
        std::vector<PeerAddress> addresses_;
        std::vector<std::unique_ptr<Selector>> selectors_;
        std::vector<BackendTable> tables_;
        std::map<std::size_t, std::size_t> running_;
        std::map<std::size_t, std::deque<Instant>> turnedAway_;
        std::priority_queue<Due> due_;
        std::mt19937_64 random_ { 1 };
        Instant now_ { seconds(100) };
        std::uint64_t lastAttempt_ = 0;
        bool brittle_ = false;
        std::size_t falls_ = 0;
        std::size_t served_ = 0;
        std::size_t servable_ = 0;
        std::size_t refused_ = 0;
    };

    /** A brittle time may have this many falls: 2 and a tenth of the servers. */
    [[nodiscard]] std::size_t allowedFalls(const BrittlePattern& pattern) { return 2 + pattern.servers / 10; }

    /** Servers are brittle for 10 s, in the middle of which twice the usual load comes. */
    [[nodiscard]] BrittleLoad playBrittleTime(const BrittlePattern& pattern)
    {
        BrittleLoad load(pattern);
        load.run(seconds(1));
        load.setBrittle(true);
        load.run(seconds(4));
        load.run(seconds(4), 3);
        load.run(seconds(3));
        return load;
    }

    // Guards against servers that say that they are brittle and fall over because all routers fill them at once.
    TEST(BrittleServer, FleetTurnsFewRequestsAwayAtBrittleServers)
    {
        const BrittlePattern pattern;
        const BrittleLoad load = playBrittleTime(pattern);
        EXPECT_LE(load.falls(), allowedFalls(pattern));
        EXPECT_GE(load.served() * 2, load.servable());
    }

    // Guards against a bound that each of many routers keeps for itself.
    TEST(BrittleServer, LargeFleetTurnsFewRequestsAwayAtBrittleServers)
    {
        BrittlePattern pattern;
        pattern.routers = 59;
        pattern.servers = 6;
        pattern.requestsPerSecond = 280;
        const BrittleLoad load = playBrittleTime(pattern);
        EXPECT_LE(load.falls(), allowedFalls(pattern));
        EXPECT_GE(load.served() * 2, load.servable());
    }

    TEST(BrittleServer, ServersThatDontSayThatTheyAreBrittleFallOften)
    {
        BrittlePattern pattern;
        pattern.stated = false;
        EXPECT_GT(playBrittleTime(pattern).falls(), 5 * allowedFalls(pattern));
    }

    // Guards against callers that are refused although brittle servers have room.
    TEST(BrittleServer, BrittleServersWithRoomServeAll)
    {
        BrittlePattern pattern;
        pattern.requestsPerSecond = 100;
        BrittleLoad load(pattern);
        load.setBrittle(true);
        load.run(seconds(5));
        EXPECT_EQ(load.refused(), 0U);
        EXPECT_EQ(load.falls(), 0U);
    }

    // Guards against requests that wait for room at a brittle server that is broken.
    TEST(BrittleServer, BrokenBrittleServerIsNotFull)
    {
        const PeerAddress self { "10.0.0.1:7400" };
        const BackendId server { "s1" };
        const Instant start { seconds(100) };
        TableSettings settings;
        settings.polled = false;
        BackendTable table(settings);
        table.setRouters(self, { self }, start);
        table.setBackends(service, { { server, FailureDomain { "d" }, 8 } }, start);
        Announcement stated;
        stated.brittle = 1;
        table.onAnnounced(server, stated, start);
        for (std::uint64_t number = 1; number <= settings.breakerFailures; ++number) {
            table.onDispatched(server, AttemptId { number }, {}, start);
            table.onFinished(server, AttemptId { number }, { EndKind::Broken, {}, {}, std::nullopt }, start);
        }
        const auto selector = makeSelector("rendezvous", {});
        SelectRequest request;
        request.service = service;
        EXPECT_FALSE(selector->choose(request, table, start + milliseconds(1)));
        EXPECT_EQ(selector->noChoice(), NoChoice::NoBackend);
    }

} // namespace
} // namespace swiftlift::routing
