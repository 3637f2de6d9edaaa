#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"
#include "swiftlift/placement/LeaseFold.h"

namespace swiftlift::placement {

struct LeaseSettings {
    /** The holder may order this long after it sent the last claim or renewal that it read back. */
    Duration leaseTime = std::chrono::seconds(6);
    /** How much longer others wait: differences between clocks, and orders under way. */
    Duration grace = std::chrono::seconds(2);
    /** Candidates wait up to this long more, at random: mostly one claims. */
    Duration longestStagger = std::chrono::seconds(1);
    /** After an append that failed or was not read back. */
    Duration retryPeriod = std::chrono::seconds(1);
};

enum class LeaseChangeKind : std::uint8_t {
    /** This router's claim won. */
    Taken,
    /** Another's claim won. */
    OtherTook,
    /** This router's lease ran out by its own clock. */
    Lapsed,
    /** A renewal came in after all. */
    Resumed,
    /** An engine has seen a higher fencing number. */
    Stale,
    /** Records expired before they were read. */
    Forgotten,
    /** A record of later rules: this router gives no orders any more. */
    LaterRules,
};

[[nodiscard]] const char* toText(LeaseChangeKind kind) noexcept;

/** For logs and for whoever acts by the lease. */
struct LeaseChange {
    LeaseChangeKind kind = LeaseChangeKind::Taken;
    Incarnation holder;
    std::uint64_t fencing = 0;
};

/**
 * @brief One router's part in the order lease of its failure domain.
 *
 * Safety needs no agreement on time: the holder counts from when it sent a claim, the others from when they read it,
 * which is later; and an engine that checks fencing numbers needs no clock at all.
 */
class OrderLease {
public:
    OrderLease(Incarnation self, LeaseSettings settings, std::uint64_t seed);

    /** @brief A record was read from the log. @param now When it was read. */
    void onRecord(Offset offset, const Record& record, Instant now);
    /** @brief Everything the log has was read. */
    void onCaughtUp(Instant now);
    /** @brief Records before `oldest` are gone unread. */
    void onExpired(Offset oldest);
    /** @brief The append got an answer, or failed; either way it may land later. */
    void onAppendEnded() noexcept { underWay_ = false; }
    /** @brief An engine refused an order, as it has seen this higher fencing number: the tenure is over. */
    void onStale(std::uint64_t fencing);

    /**
     * @param eligible This router takes part: it is ready, stays and reaches the log.
     * @return The claim or renewal to append now; nothing when none is due.
     */
    [[nodiscard]] std::optional<Claim> due(bool eligible, Instant now);

    /** @return True when an order may be sent now. To be asked just before each one. */
    [[nodiscard]] bool mayIssueOrders(Instant now) const noexcept;
    /** @return When orders sent by this router lose their cover; nothing when it may send none. */
    [[nodiscard]] std::optional<Instant> until() const noexcept;
    /** @return Of the present tenure, whosever it is; 0 when it is not known. */
    [[nodiscard]] std::uint64_t fencing() const noexcept { return fold_.leaseTerm() ? fold_.leaseTerm()->fencing : 0; }
    [[nodiscard]] const LeaseFold& fold() const noexcept { return fold_; }
    /** @return What changed since the last call. */
    [[nodiscard]] std::vector<LeaseChange> takeChanges();

private:
    void onClaim(Offset offset, const Claim& claim, Instant now);
    void noteLeaseTerm(const std::optional<LeaseTerm>& before);
    void noteLapse(Instant now);
    void change(LeaseChangeKind kind);
    [[nodiscard]] bool own() const noexcept;
    [[nodiscard]] bool renewalDue(Instant now) const noexcept;
    [[nodiscard]] bool claimDue(Instant now);
    [[nodiscard]] Instant freeAt() const noexcept;
    [[nodiscard]] Claim write(std::uint64_t fencing, Instant now);

    Incarnation self_;
    LeaseSettings settings_;
    std::mt19937_64 random_;
    LeaseFold fold_;
    /** When each claim that may still extend the lease was sent. */
    std::map<std::uint64_t, Instant> sent_;
    std::uint64_t lastSequence_ = 0;
    Instant lastSent_ {};
    bool underWay_ = false;
    /** When the last own claim that won was sent. */
    std::optional<Instant> heldFrom_;
    /** When the last claim that won was read, whosever it was. */
    Instant readAt_ {};
    std::optional<Instant> caughtUpAt_;
    std::optional<Duration> stagger_;
    /** The tenure that an engine has shown to be over. */
    std::uint64_t endedFencing_ = 0;
    bool laterRules_ = false;
    bool couldOrder_ = false;
    std::vector<LeaseChange> changes_;
};

} // namespace swiftlift::placement
