#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "capacity/Axis.h"
#include "capacity/Meter.h"
#include "swiftlift/membership/Membership.h"
#include "swiftlift/node/PeerMessage.h"
#include "swiftlift/wire/PeerCodec.h"

namespace swiftlift::capacity {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration tickPeriod = 50ms;
    constexpr std::size_t portsPerAddress = 250;
    constexpr std::uint64_t firstPeer = 5'000;
    constexpr std::size_t domainPerPeriod = 6;

    [[nodiscard]] PeerAddress peerAddress(std::size_t number)
    {
        return PeerAddress { "10.1." + std::to_string(number / portsPerAddress) + '.'
            + std::to_string(number % portsPerAddress + 1) + ":7400" };
    }

    [[nodiscard]] std::size_t heartbeatBytes(std::size_t ledgerShards)
    {
        node::Heartbeat heartbeat { FailureDomain { "regina-a" }, Region { "sask-south" }, false, true, {} };
        for (std::size_t shard = 0; shard < ledgerShards; ++shard) {
            heartbeat.positions.push_back({ StreamName { "ledger-" + std::to_string(shard) }, Offset { 1'000'000 } });
        }
        heartbeat.positions.push_back({ StreamName { "config" }, Offset { 1'000'000 } });
        return wire::encodePeerEnvelope({ Incarnation { 1 }, peerAddress(0), Incarnation {}, heartbeat }).size();
    }

    /** @brief One router's membership; the others speak as often as their own rules have them do. */
    class Fleet {
    public:
        /** @param domainPeers Others in the router's domain. @param distantPeers Others beyond it. */
        Fleet(std::size_t domainPeers, std::size_t distantPeers)
            : domainPeers_(domainPeers)
            , peers_(domainPeers + distantPeers)
        {
            for (std::size_t peer = 0; peer < peers_; ++peer) {
                facts_.push_back({ domainOf(peer), Region { "sask-south" }, false, true });
                vms_.push_back({ peerAddress(peer + 1), domainOf(peer), Region { "sask-south" }, false });
            }
        }

        void start()
        {
            membership::MembershipSettings settings;
            settings.self = Incarnation { 1 };
            settings.address = peerAddress(0);
            settings.domain = FailureDomain { "regina-a" };
            settings.region = Region { "sask-south" };
            membership_.emplace(settings);
            membership_->onVmList(vms_, now_);
            for (std::size_t peer = 0; peer < peers_; ++peer) {
                hear(peer);
            }
        }

        void run(Duration duration)
        {
            const Instant end = now_ + duration;
            while (now_ < end) {
                now_ += tickPeriod;
                hearDue();
                const auto actions = membership_->tick(now_);
                sent_ += actions.heartbeats.size();
            }
        }

        [[nodiscard]] std::size_t sent() const noexcept { return sent_; }
        [[nodiscard]] std::size_t heard() const noexcept { return heard_; }

    private:
        [[nodiscard]] FailureDomain domainOf(std::size_t peer) const
        {
            return FailureDomain { peer < domainPeers_ ? "regina-a" : "lodz-" + std::to_string(peer % 18) };
        }

        void hear(std::size_t peer)
        {
            membership_->onHeartbeat(Incarnation { firstPeer + peer }, peerAddress(peer + 1), facts_[peer], now_);
            ++heard_;
        }

        /** In a period six peers of the domain and two beyond it turn to this router, as it turns to them. */
        void hearDue()
        {
            if (now_ < nextRound_) {
                return;
            }
            nextRound_ = now_ + 500ms;
            for (std::size_t turn = 0; turn < std::min(domainPeers_, domainPerPeriod); ++turn) {
                hear(nextInDomain_++ % domainPeers_);
            }
            for (int turn = 0; turn < 2 && peers_ > domainPeers_; ++turn) {
                hear(domainPeers_ + nextDistant_++ % (peers_ - domainPeers_));
            }
        }

        std::size_t domainPeers_;
        std::size_t peers_;
        std::vector<membership::HeartbeatFacts> facts_;
        std::vector<membership::ListedVm> vms_;
        std::optional<membership::Membership> membership_;
        Instant now_ { 1h };
        Instant nextRound_ {};
        std::size_t nextInDomain_ = 0;
        std::size_t nextDistant_ = 0;
        std::size_t sent_ = 0;
        std::size_t heard_ = 0;
    };

    [[nodiscard]] Measurements cost(std::size_t domainPeers, std::size_t distantPeers)
    {
        constexpr int seconds = 20;
        Fleet fleet(domainPeers, distantPeers);
        const Meter memory;
        fleet.start();
        const double heap = memory.bytes();
        fleet.run(10s);
        const std::size_t sentBefore = fleet.sent();
        const std::size_t heardBefore = fleet.heard();
        const Meter processor;
        fleet.run(std::chrono::seconds(seconds));
        const double spent = processor.microseconds() / seconds;
        const double sent = static_cast<double>(fleet.sent() - sentBefore) / seconds;
        const double heard = static_cast<double>(fleet.heard() - heardBefore) / seconds;
        const auto bytes = static_cast<double>(heartbeatBytes(1));
        return { { "heap", "B", heap }, { "CPU of a second", "us", spent }, { "heartbeats sent", "1/s", sent },
            { "heartbeats heard", "1/s", heard }, { "payload sent", "B/s", sent * bytes } };
    }

    class InDomain final : public Axis {
    public:
        InDomain()
            : Axis("membership.domain", "other VMs in the domain", { 1, 7, 20, 60 })
        {
        }

        [[nodiscard]] Measurements run(std::size_t size) const override { return cost(size, 0); }
    };

    class Beyond final : public Axis {
    public:
        Beyond()
            : Axis("membership.beyond", "VMs beyond the domain", { 8, 100, 400, 1'200 })
        {
        }

        [[nodiscard]] Measurements run(std::size_t size) const override { return cost(1, size); }
    };

    class HeartbeatSize final : public Axis {
    public:
        HeartbeatSize()
            : Axis("membership.shards", "ledger streams", { 1, 4, 8, 20, 40 })
        {
        }

        [[nodiscard]] Measurements run(std::size_t size) const override
        {
            return { { "heartbeat", "B", static_cast<double>(heartbeatBytes(size)) } };
        }
    };

} // namespace

void addMembershipAxes(Axes& axes)
{
    axes.push_back(std::make_unique<InDomain>());
    axes.push_back(std::make_unique<Beyond>());
    axes.push_back(std::make_unique<HeartbeatSize>());
}

} // namespace swiftlift::capacity
