#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"

namespace swiftlift::ledger {

/** Version of the fold's rules. A fold stops at a batch with a higher version, because it cannot apply that batch. */
inline constexpr std::uint32_t rulesVersion = 2;

/** Opens a client account. Refused when the account exists already. */
struct OpenAccount {
    AccountId account;
    /** SHA-256 of the account's API key, in hexadecimal. */
    std::string keyHash;

    [[nodiscard]] bool operator==(const OpenAccount&) const = default;
};

/**
 * Closes a client account. Refused unless the account's revision equals `expectedRevision`, so that an operator does
 * not close an account that another operator has changed meanwhile.
 */
struct CloseAccount {
    AccountId account;
    /** Offset of the record that last changed the account, as read by the operator who closes it. */
    Offset expectedRevision;

    [[nodiscard]] bool operator==(const CloseAccount&) const = default;
};

/** Adds prepaid tokens to a budget. The first top-up of a budget creates the budget. */
struct TopUp {
    BudgetRef budget;
    Tokens amount;

    [[nodiscard]] bool operator==(const TopUp&) const = default;
};

/**
 * Sets the total of tokens bought for a budget. The budget and its account are created when they do not exist. Every
 * router that reads the total from the operators' configuration may append the entry, in any order and repeatedly: only
 * a total that is higher than the present one has an effect.
 */
struct Fund {
    BudgetRef budget;
    Tokens total;

    [[nodiscard]] bool operator==(const Fund&) const = default;
};

/**
 * Requests a grant of tokens from a budget. The fold admits min(`wanted`, available tokens), or nothing when that is
 * less than `least`.
 */
struct Draw {
    GrantId grant;
    BudgetRef budget;
    Tokens wanted;
    /** Minimum to admit, in tokens. */
    Tokens least;
    /** Incarnation that acknowledges the grant's ceilings. The null incarnation means that the grant has no witness:
     * its holder may spend the whole grant, and all of the grant stays held if the holder is lost. */
    Incarnation witness;

    [[nodiscard]] bool operator==(const Draw&) const = default;
};

/** Returns part of an open grant to its budget. The holder stops spending that part when it emits the entry. */
struct Return {
    GrantId grant;
    Tokens amount;

    [[nodiscard]] bool operator==(const Return&) const = default;
};

/**
 * Closes a grant and returns the tokens that were not billed to its budget. The holder appends the entry after all
 * bills of the grant. The witness may append it for a sealed grant: all bills of which the witness has copies are then
 * in the log, and the holder reports no bill to a caller before that bill has a copy or is in the log.
 */
struct CloseGrant {
    GrantId grant;

    [[nodiscard]] bool operator==(const CloseGrant&) const = default;
};

/** Replaces the witness of a grant. `ceiling` is the last ceiling that the previous witness acknowledged. */
struct ChangeWitness {
    GrantId grant;
    Incarnation witness;
    Tokens ceiling;

    [[nodiscard]] bool operator==(const ChangeWitness&) const = default;
};

/**
 * Seals a grant at `ceiling`. The witness never acknowledges another ceiling of the grant, so the holder cannot spend
 * more than `ceiling`, and the tokens above `ceiling` return to the budget.
 */
struct Seal {
    GrantId grant;
    Incarnation witness;
    Tokens ceiling;

    [[nodiscard]] bool operator==(const Seal&) const = default;
};

/**
 * Charges the cost of a request to a grant. Only the first bill of a key counts. The tokens of a later bill, from
 * another run of the same request, stay in the grant.
 */
struct Bill {
    RequestKey key;
    GrantId grant;
    Tokens tokens;

    [[nodiscard]] bool operator==(const Bill&) const = default;
};

/**
 * Claims the right to dispatch a non-idempotent request. The first claim or void of a key determines the key's owner;
 * later claims have no effect.
 */
struct Claim {
    RequestKey key;

    [[nodiscard]] bool operator==(const Claim&) const = default;
};

/**
 * Ensures that a non-idempotent request is never dispatched. A void has an effect when it is the first claim or void of
 * its key, or when its author owns the key. A void key stays void.
 */
struct VoidClaim {
    RequestKey key;

    [[nodiscard]] bool operator==(const VoidClaim&) const = default;
};

/** The fold's state after all records below offset `asOf`. Readers that start from it do not need those records. */
struct Checkpoint {
    /** Offset of the first record that `state` does not include. */
    Offset asOf;
    /** State encoded by the fold. */
    std::string state;

    [[nodiscard]] bool operator==(const Checkpoint&) const = default;
};

/**
 * Closes a grant on behalf of an operator who has confirmed that the holder's VM is lost for good. The tokens that were
 * not billed return to the budget. If the VM is not lost, later bills of the holder are refused, although the holder
 * may have reported them to callers.
 */
struct WriteOff {
    GrantId grant;

    [[nodiscard]] bool operator==(const WriteOff&) const = default;
};

using Entry = std::variant<OpenAccount, CloseAccount, TopUp, Draw, Return, CloseGrant, ChangeWitness, Seal, Bill, Claim,
    VoidClaim, Checkpoint, WriteOff, Fund>;

/** @return Name of the entry's kind, such as `top_up`, for log lines. */
[[nodiscard]] const char* kindOf(const Entry& entry) noexcept;
/** @return The grant that the entry names, or `std::nullopt` when entries of its kind name no grant. */
[[nodiscard]] std::optional<GrantId> grantOf(const Entry& entry) noexcept;

/**
 * An entry with its author and sequence. The fold applies each author's items in the order of their sequences and
 * ignores an item that it has applied already. Appending an item is thus idempotent: the author, or a peer on its
 * behalf, repeats an append whose response was lost.
 */
struct Item {
    /** Incarnation that is the author of the entry. */
    Incarnation origin;
    /** Counts from 1, without gaps, for each author and stream. */
    std::uint64_t sequence = 0;
    Entry entry;

    [[nodiscard]] bool operator==(const Item&) const = default;
};

/** Contents of one record of a `ledger-S` stream, where S is the shard's number. */
struct Batch {
    std::uint32_t version = rulesVersion;
    std::vector<Item> items;

    [[nodiscard]] bool operator==(const Batch&) const = default;
};

} // namespace swiftlift::ledger
