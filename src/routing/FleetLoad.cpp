#include "swiftlift/routing/FleetLoad.h"

#include <algorithm>

#include "swiftlift/base/RendezvousHash.h"

namespace swiftlift::routing {

namespace {

    /** A new observation has a weight of 1/4: a stream's pace varies with the prompts that are prefilled meanwhile. */
    constexpr int paceSmoothing = 4;
    /** Time after which the pace of a backend server is forgotten. */
    constexpr Duration paceLifetime = std::chrono::seconds(30);

    /** @return What is left of `total` after subtracting a part of it that may have changed since. */
    [[nodiscard]] ServerLoad subtract(const ServerLoad& total, const ServerLoad& part)
    {
        ServerLoad rest;
        rest.inProgress = total.inProgress - std::min(total.inProgress, part.inProgress);
        rest.unread = std::max(total.unread - part.unread, Tokens {});
        rest.memory = std::max(total.memory - part.memory, Tokens {});
        return rest;
    }

} // namespace

ServerKey serverKey(const BackendId& backend, std::uint64_t instance)
{
    return ServerKey { static_cast<std::uint32_t>(rendezvousRank(stableHash(backend.value()), instance)) };
}

FleetLoad::FleetLoad(Duration lifetime)
    : lifetime_(lifetime)
{
}

void FleetLoad::onReported(const std::vector<ServerLoadEntry>& own)
{
    reported_.clear();
    for (const ServerLoadEntry& entry : own) {
        reported_[entry.server] += entry.load;
    }
}

void FleetLoad::onDigest(const std::vector<ServerLoadEntry>& digest, Instant now)
{
    receivedAt_ = now;
    loads_.clear();
    for (const ServerLoadEntry& entry : digest) {
        loads_[entry.server] += entry.load;
        if (!entry.pace) {
            continue;
        }
        const auto [known, isNew] = paces_.try_emplace(entry.server, Pace { *entry.pace, now });
        known->second.value += isNew ? Duration {} : (*entry.pace - known->second.value) / paceSmoothing;
        known->second.at = now;
    }
    forgetOldPaces(now);
}

void FleetLoad::forgetOldPaces(Instant now)
{
    std::erase_if(paces_, [&](const auto& entry) { return now - entry.second.at > paceLifetime; });
}

std::optional<PeerLoad> FleetLoad::of(ServerKey server, Instant now) const
{
    const auto since = age(now);
    if (!since) {
        return std::nullopt;
    }
    const auto found = loads_.find(server);
    if (found == loads_.end()) {
        return PeerLoad { {}, *since };
    }
    const auto own = reported_.find(server);
    return PeerLoad { own == reported_.end() ? found->second : subtract(found->second, own->second), *since };
}

std::optional<Duration> FleetLoad::paceOf(ServerKey server, Instant now) const
{
    const auto found = paces_.find(server);
    if (found == paces_.end() || now - found->second.at > paceLifetime) {
        return std::nullopt;
    }
    return found->second.value;
}

std::optional<Duration> FleetLoad::age(Instant now) const
{
    if (!receivedAt_ || now - *receivedAt_ > lifetime_) {
        return std::nullopt;
    }
    return now - *receivedAt_;
}

} // namespace swiftlift::routing
