#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"
#include "swiftlift/ledger/Entry.h"

namespace swiftlift::ledger {

namespace internal {
    struct FoldState;
}

enum class GrantState : std::uint8_t {
    Open,
    /** The witness has fixed the ceiling. The grant holds its ceiling until the holder or the witness closes it. */
    Sealed,
    Closed,
};

/** @return `open`, `sealed` or `closed`. */
[[nodiscard]] const char* toText(GrantState state) noexcept;

/** State of a grant after the records that the fold has applied. */
struct GrantView {
    GrantId id;
    BudgetRef budget;
    GrantState state = GrantState::Open;
    /** Tokens that the fold admitted, less the tokens that were returned. */
    Tokens amount;
    /** Sum of the bills that counted, in tokens. */
    Tokens billed;
    /** Minimum of the ceiling that a seal sets, in tokens: the ceiling stated by the last change of witness. */
    Tokens floor;
    /** Ceiling at which the grant was sealed; valid only in state `Sealed`. */
    Tokens ceiling;
    Incarnation witness;

    /**
     * @return Tokens that the grant takes out of its budget: `amount` when open, `ceiling` when sealed, `billed` when
     * closed.
     */
    [[nodiscard]] Tokens held() const noexcept;
};

/** State of a budget after the records that the fold has applied. */
struct BudgetView {
    Tokens bought;
    /** Sum of the bills that counted, in tokens. */
    Tokens billed;
    /** Sum of `held()` over the budget's grants, closed ones included. */
    Tokens held;

    /** @return Tokens that a draw could take: `bought - held`, never negative. */
    [[nodiscard]] Tokens available() const noexcept { return bought - held; }
};

/** State of a client account after the records that the fold has applied. */
struct AccountView {
    std::string keyHash;
    bool closed = false;
    /** Offset of the record that last changed the account. */
    Offset revision;
};

// Effects of a record.

/** An item has landed: it was read back from the stream as the next item of its author, whether refused or applied. */
struct Landed {
    Incarnation origin;
    std::uint64_t sequence = 0;
};
/**
 * Result of a draw. `admitted` is zero when the draw was refused. `shortfall` is the part of the wanted tokens that was
 * not available. A draw that breaks a rule also yields a `Refused` effect; a draw that fails for lack of tokens does
 * not.
 */
struct DrawDecided {
    GrantId grant;
    BudgetRef budget;
    Tokens admitted;
    Tokens shortfall;
    Incarnation witness;
};
/** A grant was returned in part, closed or sealed, or has another witness. */
struct GrantChanged {
    GrantId grant;
    GrantState state = GrantState::Open;
    Incarnation witness;
};
/** Result of a bill. `counted` is false when the key had been billed before; the tokens then stay in the grant. */
struct BillDecided {
    RequestKey key;
    GrantId grant;
    Tokens tokens;
    bool counted = true;
};
/** Result of a claim or a void: the key's owner, or the null incarnation when the key is void. */
struct ClaimDecided {
    RequestKey key;
    Incarnation owner;
};
/** The sums of a budget may have changed. */
struct BudgetChanged {
    BudgetRef budget;
};
/** An item that the fold's rules refuse. `reason` is text for logs and operators. */
struct Refused {
    Incarnation origin;
    std::uint64_t sequence = 0;
    std::string reason;
};

using Effect = std::variant<Landed, DrawDecided, GrantChanged, BillDecided, ClaimDecided, BudgetChanged, Refused>;

/**
 * Limits of what a fold remembers. All readers of a stream need the same limits to compute the same state, so only
 * tests use other values than the defaults.
 */
struct FoldLimits {
    static constexpr std::size_t defaultKeys = 200'000;
    static constexpr std::size_t defaultOrigins = 8'192;

    /** Number of remembered keys of bills, and likewise of claims. */
    std::size_t keys = defaultKeys;
    /** Number of remembered authors. An author with a grant that is not closed is remembered beyond this limit. */
    std::size_t origins = defaultOrigins;
};

/**
 * @brief Computes the state of a shard's accounts, budgets, grants and claims from a prefix of its ledger stream.
 *
 * The fold is deterministic: all readers of the same prefix without gaps compute the same state. The fold is the
 * authoritative source of this state. A record that leaves a gap is refused.
 */
class Fold {
public:
    /**
     * Number of keys of bills, and likewise of claims, that are remembered by default. A caller must not use a request
     * id again within so many requests of the shard.
     */
    static constexpr std::size_t keyWindow = FoldLimits::defaultKeys;

    /** @param limits Limits of the remembered keys and authors; the same for all readers of the stream. */
    explicit Fold(const FoldLimits& limits = {});
    ~Fold();
    Fold(Fold&& other) noexcept;
    Fold& operator=(Fold&& other) noexcept;

    /**
     * @brief Applies the record at `offset`.
     * @param offset Offset of the record; must equal `nextOffset()`.
     * @param batch Contents of the record.
     * @param effects Receives the effects of the record, appended in order.
     * @return `true` when the record was applied. `false`, with the cause in `lastReason()` and the state unchanged,
     * when `offset` is not the next one or the version of the batch's rules is unknown.
     */
    [[nodiscard]] bool apply(Offset offset, const Batch& batch, std::vector<Effect>& effects);

    /**
     * @brief Replaces the state with a checkpoint's, for a reader that cannot read the records before the checkpoint
     * because they have expired.
     * @return `true` on success. `false`, with the cause in `lastReason()` and the fold unchanged, when the checkpoint
     * is older than `nextOffset()` or its state cannot be decoded.
     */
    [[nodiscard]] bool restore(const Checkpoint& checkpoint);

    /** @return The state after all records below `nextOffset()`. Equal states are encoded in equal bytes. */
    [[nodiscard]] Checkpoint checkpoint() const;

    /** @return Offset of the record that has to be applied next. */
    [[nodiscard]] Offset nextOffset() const noexcept;
    /** @return Why the last failed call of `apply()` or `restore()` failed. */
    [[nodiscard]] const std::string& lastReason() const noexcept;

    /** @return The budget, or `std::nullopt` when it does not exist. */
    [[nodiscard]] std::optional<BudgetView> budget(const BudgetRef& ref) const;
    /** @return The account, open or closed, or `std::nullopt` when it does not exist. */
    [[nodiscard]] std::optional<AccountView> account(const AccountId& id) const;
    /** @return The grant when it is open or sealed; `std::nullopt` when it is closed or unknown. */
    [[nodiscard]] std::optional<GrantView> grant(const GrantId& id) const;
    /** @return Open and sealed grants, ordered by their ids. */
    [[nodiscard]] std::vector<GrantView> openGrants() const;
    [[nodiscard]] std::vector<BudgetRef> budgets() const;
    [[nodiscard]] std::vector<AccountId> accounts() const;
    /**
     * @return Owner of the key; the null incarnation when the key is void; `std::nullopt` when the fold remembers
     * neither a claim nor a void of the key.
     */
    [[nodiscard]] std::optional<Incarnation> claimOwner(const RequestKey& key) const;
    /** @return Tokens that were billed under the key; `std::nullopt` when the fold remembers no bill of the key. */
    [[nodiscard]] std::optional<Tokens> billed(const RequestKey& key) const;
    /** @return Whether draws of this holder are refused because one of its grants was sealed or written off. */
    [[nodiscard]] bool retired(Incarnation incarnation) const;
    /** @return Highest sequence of this author's items that were read back from the stream; 0 when there are none. */
    [[nodiscard]] std::uint64_t lastSequence(Incarnation origin) const;
    /** @return Description of the first inconsistent sum; empty when all sums are consistent, which must always hold.
     */
    [[nodiscard]] std::string inconsistency() const;

private:
    /** Sets `lastReason()` and returns `false`. */
    [[nodiscard]] bool fail(std::string reason);

    FoldLimits limits_;
    std::unique_ptr<internal::FoldState> state_;
    Offset nextOffset_;
    std::string lastReason_;
};

} // namespace swiftlift::ledger
