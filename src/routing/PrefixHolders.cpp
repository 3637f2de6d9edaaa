#include "routing/PrefixHolders.h"

#include <algorithm>

namespace swiftlift::routing::internal {

namespace {

    using namespace std::chrono_literals;

    /** A prefix that was used so lately is taken to be cached. */
    constexpr Duration certainFor = 10s;
    /** After this time nothing is assumed. */
    constexpr Duration forgottenAfter = 30s;
    /** Time between two searches for what is forgotten; each takes time in proportion to all that is remembered. */
    constexpr Duration cleanupPeriod = 5s;

    [[nodiscard]] bool isForgotten(const PrefixHolders::Holder& holder, Instant now)
    {
        return !holder.seenAt || now - *holder.seenAt >= forgottenAfter;
    }

    /** @return The place of the server, or else the one that was used least recently. */
    [[nodiscard]] PrefixHolders::Holder& placeFor(PrefixHolders::Holders& holders, ServerKey server)
    {
        const auto known = std::find_if(holders.begin(), holders.end(),
            [&](const auto& holder) { return holder.seenAt && holder.server == server; });
        if (known != holders.end()) {
            return *known;
        }
        return *std::min_element(holders.begin(), holders.end(),
            [](const auto& left, const auto& right) { return left.seenAt < right.seenAt; });
    }

} // namespace

void PrefixHolders::onPromptServed(const PromptServed& served, Instant now)
{
    if (now >= nextCleanup_) {
        nextCleanup_ = now + cleanupPeriod;
        forgetOld(now);
    }
    const Tokens sent = countSent(served, now);
    if (served.prefixHash == 0 || !hasRoomFor(served.prefixHash)) {
        return;
    }
    placeFor(holders_[served.prefixHash], served.server) = Holder { served.server, now, sent };
}

Tokens PrefixHolders::countSent(const PromptServed& served, Instant now)
{
    if (sent_.size() >= maxServers_ && !sent_.contains(served.server)) {
        return {};
    }
    Sent& sent = sent_[served.server];
    sent.tokens += served.tokens;
    sent.at = now;
    return sent.tokens;
}

bool PrefixHolders::hasRoomFor(std::uint64_t prefixHash) const
{
    return holders_.size() < maxPrefixes_ || holders_.contains(prefixHash);
}

// A server's count may go once no prefix is remembered there, which is `forgottenAfter` after the last request.
void PrefixHolders::forgetOld(Instant now)
{
    std::erase_if(holders_, [&](const auto& entry) {
        return std::all_of(
            entry.second.begin(), entry.second.end(), [&](const auto& holder) { return isForgotten(holder, now); });
    });
    std::erase_if(sent_, [&](const auto& entry) { return now - entry.second.at >= forgottenAfter; });
}

const PrefixHolders::Holders* PrefixHolders::of(std::uint64_t prefixHash) const
{
    const auto found = holders_.find(prefixHash);
    return found == holders_.end() ? nullptr : &found->second;
}

double PrefixHolders::trust(const Holder& holder, const std::optional<Tokens>& memory, Instant now) const
{
    if (isForgotten(holder, now)) {
        return 0;
    }
    const auto sent = sent_.find(holder.server);
    if (memory && sent != sent_.end() && sent->second.tokens - holder.sentBefore > *memory) {
        return 0;
    }
    const Duration age = now - *holder.seenAt;
    if (age <= certainFor) {
        return 1;
    }
    return static_cast<double>((forgottenAfter - age).count())
        / static_cast<double>((forgottenAfter - certainFor).count());
}

} // namespace swiftlift::routing::internal
