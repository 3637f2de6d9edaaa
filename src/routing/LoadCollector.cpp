#include "swiftlift/routing/LoadCollector.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace swiftlift::routing {

namespace {

    /** Time for which a sender's sequence number is kept: a message that is later than this would count as new. */
    constexpr Duration sequenceLifetime = std::chrono::seconds(30);

} // namespace

/** @brief Sum of loads by backend server; the pace of a server is the mean of the stated ones. */
class LoadCollector::Sum {
public:
    void add(const std::vector<ServerLoadEntry>& loads)
    {
        for (const ServerLoadEntry& entry : loads) {
            Total& total = totals_[entry.server];
            total.load += entry.load;
            total.paces += entry.pace.value_or(Duration {});
            total.paceCount += entry.pace ? 1 : 0;
        }
    }

    [[nodiscard]] std::vector<ServerLoadEntry> limited() const
    {
        std::vector<ServerLoadEntry> loads;
        loads.reserve(totals_.size());
        for (const auto& [server, total] : totals_) {
            const auto pace = total.paceCount == 0 ? std::nullopt : std::optional(total.paces / total.paceCount);
            loads.push_back({ server, total.load, pace });
        }
        limitServers(loads);
        return loads;
    }

private:
    struct Total {
        ServerLoad load;
        Duration paces {};
        int paceCount = 0;
    };

    std::map<ServerKey, Total> totals_;
};

void limitServers(std::vector<ServerLoadEntry>& loads)
{
    const auto byKey
        = [](const ServerLoadEntry& left, const ServerLoadEntry& right) { return left.server < right.server; };
    const auto byLoad = [&](const ServerLoadEntry& left, const ServerLoadEntry& right) {
        const bool equal = left.load.inProgress == right.load.inProgress;
        return equal ? byKey(left, right) : left.load.inProgress > right.load.inProgress;
    };
    if (loads.size() > maxDigestServers) {
        const auto end = loads.begin() + static_cast<std::ptrdiff_t>(maxDigestServers);
        std::nth_element(loads.begin(), end, loads.end(), byLoad);
        loads.erase(end, loads.end());
    }
    std::ranges::sort(loads, byKey);
}

LoadCollector::LoadCollector(Duration lifetime)
    : lifetime_(lifetime)
{
}

bool LoadCollector::onReport(
    const LoadSender& from, std::uint64_t sequence, std::vector<ServerLoadEntry> loads, Instant now)
{
    return replace(reports_, { from, sequence, now, std::move(loads) });
}

bool LoadCollector::onDigest(
    const LoadSender& from, std::uint64_t sequence, std::vector<ServerLoadEntry> loads, Instant now)
{
    return replace(digests_, { from, sequence, now, std::move(loads) });
}

bool LoadCollector::replace(Contributions& all, Contribution latest)
{
    const auto [known, isNew] = all.try_emplace(latest.from.router);
    if (!isNew && latest.sequence <= known->second.sequence) {
        return false;
    }
    known->second = std::move(latest);
    return true;
}

void LoadCollector::clear()
{
    reports_.clear();
    digests_.clear();
}

void LoadCollector::forgetOld(Instant now)
{
    forgetOld(reports_, now);
    forgetOld(digests_, now);
}

void LoadCollector::forgetOld(Contributions& all, Instant now) const
{
    std::erase_if(all, [&](const auto& entry) { return now - entry.second.receivedAt > sequenceLifetime; });
    for (auto& [router, contribution] : all) {
        if (!isInForce(contribution, now)) {
            contribution.loads = {};
        }
    }
}

std::vector<ServerLoadEntry> LoadCollector::domainDigest(Instant now) const
{
    Sum sum;
    add(reports_, now, sum);
    return sum.limited();
}

std::vector<ServerLoadEntry> LoadCollector::fleetDigest(Instant now) const
{
    Sum sum;
    add(reports_, now, sum);
    add(digests_, now, sum);
    return sum.limited();
}

void LoadCollector::add(const Contributions& all, Instant now, Sum& sum) const
{
    for (const auto& [router, contribution] : all) {
        if (isInForce(contribution, now)) {
            sum.add(contribution.loads);
        }
    }
}

std::vector<LoadSender> LoadCollector::senders(const Contributions& all, Instant now) const
{
    std::vector<LoadSender> senders;
    for (const auto& [router, contribution] : all) {
        if (isInForce(contribution, now)) {
            senders.push_back(contribution.from);
        }
    }
    return senders;
}

bool LoadCollector::isInForce(const Contribution& contribution, Instant now) const
{
    return now - contribution.receivedAt <= lifetime_;
}

} // namespace swiftlift::routing
