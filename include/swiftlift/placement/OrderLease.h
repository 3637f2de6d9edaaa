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

/** Times of the order lease. */
struct LeaseSettings {
    /** How long the holder may issue orders after it sent the last claim or renewal that it read back. */
    Duration leaseTime = std::chrono::seconds(6);
    /** How much longer other routers wait, to cover clock differences and orders in flight. */
    Duration grace = std::chrono::seconds(2);
    /** Upper bound of the random delay before a claim, so that mostly a single candidate claims. */
    Duration maxStagger = std::chrono::seconds(1);
    /** How long to wait after an append that failed or was not read back. */
    Duration retryPeriod = std::chrono::seconds(1);
};

/** What happened to the order lease. */
enum class LeaseChangeKind : std::uint8_t {
    /** This router's claim won. */
    Taken,
    /** Another router's claim won. */
    OtherTook,
    /** This router's lease ran out by its own clock. */
    Lapsed,
    /** This router's lease is valid again, as a late renewal was read back. */
    Resumed,
    /** An engine refused an order, as it had received a higher fencing number. */
    Stale,
    /** Records expired before they were read. */
    Forgotten,
    /** A record of a later rules version was read; this router issues no more orders. */
    LaterRules,
};

[[nodiscard]] const char* toText(LeaseChangeKind kind) noexcept;

/** A change of the order lease, for logs and for callers that depend on the lease. */
struct LeaseChange {
    LeaseChangeKind kind = LeaseChangeKind::Taken;
    Incarnation holder;
    std::uint64_t fencing = 0;
};

/**
 * @brief Claims, renews and observes the order lease of a failure domain on behalf of one router.
 *
 * The routers' clocks need not agree. The holder counts the lease time from when it sent a claim; the other routers
 * count from when they read the claim, which is later. An engine that checks fencing numbers needs no clock at all.
 */
class OrderLease {
public:
    OrderLease(Incarnation self, LeaseSettings settings, std::uint64_t seed);

    /**
     * @brief Applies a record read from the log.
     * @param now When the record was read.
     */
    void onRecord(Offset offset, const Record& record, Instant now);
    /** @brief Notes that all records of the log have been read. */
    void onCaughtUp(Instant now);
    /** @brief Discards the lease term, as the records before `oldest` expired before they were read. */
    void onExpired(Offset oldest);
    /** @brief Notes that the append was answered or failed. In both cases the record may still reach the log later. */
    void onAppendEnded() noexcept { appendInFlight_ = false; }
    /** @brief Ends the own lease term, as an engine refused an order because it had received this higher number. */
    void onStale(std::uint64_t fencing);

    /**
     * @param eligible True when this router may hold the lease: it is ready, is not shutting down and reaches the log.
     * @return The claim or renewal to append now; nothing when none is due.
     */
    [[nodiscard]] std::optional<Claim> due(bool eligible, Instant now);

    /** @return True when an order may be sent now. Call this just before sending each order. */
    [[nodiscard]] bool mayIssueOrders(Instant now) const noexcept;
    /** @return When the own lease ends or ended; nothing when the last claim that won gives this router no lease. */
    [[nodiscard]] std::optional<Instant> until() const noexcept;
    /** @return Fencing number of the present lease term, of any holder; 0 when the lease term is unknown. */
    [[nodiscard]] std::uint64_t fencing() const noexcept { return fold_.leaseTerm() ? fold_.leaseTerm()->fencing : 0; }
    [[nodiscard]] const LeaseFold& fold() const noexcept { return fold_; }
    /** @return The changes since the last call. */
    [[nodiscard]] std::vector<LeaseChange> takeChanges();

private:
    void onClaim(Offset offset, const Claim& claim, Instant now);
    void noteLeaseTerm(const std::optional<LeaseTerm>& before);
    void updateLapse(Instant now);
    void addChange(LeaseChangeKind kind);
    [[nodiscard]] bool isOwn() const noexcept;
    [[nodiscard]] bool renewalDue(Instant now) const noexcept;
    [[nodiscard]] bool claimDue(Instant now);
    [[nodiscard]] Instant claimableFrom() const noexcept;
    [[nodiscard]] Claim makeClaim(std::uint64_t fencing, Instant now);

    Incarnation self_;
    LeaseSettings settings_;
    std::mt19937_64 random_;
    LeaseFold fold_;
    /** By sequence: when each claim that may still extend the lease was sent. */
    std::map<std::uint64_t, Instant> claimSentAt_;
    std::uint64_t lastSequence_ = 0;
    Instant lastSent_ {};
    bool appendInFlight_ = false;
    /** When the last claim that won was sent; nothing if it is another router's or was sent too long ago to count. */
    std::optional<Instant> leaseStart_;
    /** When the last claim that won, of any router, was read. */
    Instant winnerReadAt_ {};
    std::optional<Instant> caughtUpAt_;
    std::optional<Duration> stagger_;
    /** Fencing number of the own lease term that an engine's refusal has ended. */
    std::uint64_t endedFencing_ = 0;
    bool laterRules_ = false;
    bool couldIssueOrders_ = false;
    std::vector<LeaseChange> changes_;
};

} // namespace swiftlift::placement
