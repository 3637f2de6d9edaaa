#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"

namespace swiftlift::ledger {

/** Version of the fold's rules. A fold that reads a batch of a later version stops rather than guess. */
inline constexpr std::uint32_t rulesVersion = 2;

struct OpenAccount {
    AccountId account;
    /** SHA-256 of the account's key, in hex. */
    std::string keyHash;

    [[nodiscard]] bool operator==(const OpenAccount&) const = default;
};

/** Operators race: refused unless the account's revision is still the expected one. */
struct CloseAccount {
    AccountId account;
    /** Offset of the record that last changed the account, as the operator saw it. */
    Offset expectedRevision;

    [[nodiscard]] bool operator==(const CloseAccount&) const = default;
};

/** Adds prepaid tokens; the first one creates the budget. */
struct TopUp {
    BudgetRef budget;
    Tokens amount;

    [[nodiscard]] bool operator==(const TopUp&) const = default;
};

/**
 * Says how much a budget holds in all, opened when there is none yet. Every router that reads the operators' figure
 * may write it, in any order and as often as it likes: only a higher total than before changes anything.
 */
struct Fund {
    BudgetRef budget;
    Tokens total;

    [[nodiscard]] bool operator==(const Fund&) const = default;
};

/** Asks for a grant. The fold admits min(wanted, available), or nothing when that is less than `least`. */
struct Draw {
    GrantId grant;
    BudgetRef budget;
    Tokens wanted;
    Tokens least;
    /** Incarnation that acknowledges the grant's ceiling; nobody: the whole grant is spendable, and lost with its
     * holder. */
    Incarnation witness;

    [[nodiscard]] bool operator==(const Draw&) const = default;
};

/** The holder gives part of an open grant back; it spends nothing of that part from the moment it sends this. */
struct Return {
    GrantId grant;
    Tokens amount;

    [[nodiscard]] bool operator==(const Return&) const = default;
};

/**
 * The holder's last word on a grant: all its bills came before. Frees what was not billed. Of a sealed grant also the
 * witness's word: what it keeps copies of has landed, and the holder tells no caller of a bill that has not.
 */
struct CloseGrant {
    GrantId grant;

    [[nodiscard]] bool operator==(const CloseGrant&) const = default;
};

/** The holder names another witness; `ceiling` is the last one the old witness acknowledged. */
struct ChangeWitness {
    GrantId grant;
    Incarnation witness;
    Tokens ceiling;

    [[nodiscard]] bool operator==(const ChangeWitness&) const = default;
};

/** The witness has stopped acknowledging for good: the holder can't pass `ceiling`, so the rest is free. */
struct Seal {
    GrantId grant;
    Incarnation witness;
    Tokens ceiling;

    [[nodiscard]] bool operator==(const Seal&) const = default;
};

/** A request's cost, charged to a grant. The first bill of a key counts; a later one of another run is given back. */
struct Bill {
    RequestKey key;
    GrantId grant;
    Tokens tokens;

    [[nodiscard]] bool operator==(const Bill&) const = default;
};

/** The right to dispatch a non-idempotent request. The first claim or void of a key wins, for good. */
struct Claim {
    RequestKey key;

    [[nodiscard]] bool operator==(const Claim&) const = default;
};

/** Makes sure that a non-idempotent request never runs. The first claim or void of a key wins, for good. */
struct VoidClaim {
    RequestKey key;

    [[nodiscard]] bool operator==(const VoidClaim&) const = default;
};

/** The fold's state after every record below `asOf`, so that older records may expire. */
struct Checkpoint {
    Offset asOf;
    std::string state;

    [[nodiscard]] bool operator==(const Checkpoint&) const = default;
};

/**
 * An operator's word that the holder's VM is gone for good: what the grant has not billed is free again. Wrong, and the
 * holder's later bills are refused, though it may have told callers of them.
 */
struct WriteOff {
    GrantId grant;

    [[nodiscard]] bool operator==(const WriteOff&) const = default;
};

using Entry = std::variant<OpenAccount, CloseAccount, TopUp, Draw, Return, CloseGrant, ChangeWitness, Seal, Bill, Claim,
    VoidClaim, Checkpoint, WriteOff, Fund>;

/** @return The entry's kind, for log lines. */
[[nodiscard]] const char* kindOf(const Entry& entry) noexcept;
/** @return The grant that the entry is about; nothing when it is about none. */
[[nodiscard]] std::optional<GrantId> grantOf(const Entry& entry) noexcept;

/**
 * An entry with its author. The fold takes an author's items in sequence and ignores a repeat, so an append whose
 * answer was lost is simply made again, by the author or through a relay.
 */
struct Item {
    Incarnation origin;
    /** From 1, without gaps, for each author and stream. */
    std::uint64_t sequence = 0;
    Entry entry;

    [[nodiscard]] bool operator==(const Item&) const = default;
};

/** One record of a `ledger-S` stream. */
struct Batch {
    std::uint32_t version = rulesVersion;
    std::vector<Item> items;

    [[nodiscard]] bool operator==(const Batch&) const = default;
};

} // namespace swiftlift::ledger
