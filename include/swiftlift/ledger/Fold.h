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
    /** The witness capped it: it holds its ceiling until the holder closes it. */
    Sealed,
    Closed,
};

/** @return `open`, `sealed` or `closed`. */
[[nodiscard]] const char* toText(GrantState state) noexcept;

/** A grant as the log's order makes it. */
struct GrantView {
    GrantId id;
    BudgetRef budget;
    GrantState state = GrantState::Open;
    /** What the fold admitted, less what was returned. */
    Tokens amount;
    /** Sum of the bills that counted. */
    Tokens billed;
    /** Lower bound of any seal's ceiling: the one stated by the last change of witness. */
    Tokens floor;
    /** Set by a seal. */
    Tokens ceiling;
    Incarnation witness;

    /** @return What the grant takes out of its budget: amount when open, ceiling when sealed, billed when closed. */
    [[nodiscard]] Tokens held() const noexcept;
};

struct BudgetView {
    Tokens bought;
    /** Sum of the bills that counted. */
    Tokens billed;
    /** Sum of `held()` over the budget's grants, closed ones included. */
    Tokens held;

    /** @return bought - held; never negative. */
    [[nodiscard]] Tokens available() const noexcept { return bought - held; }
};

struct AccountView {
    std::string keyHash;
    bool closed = false;
    /** Offset of the record that last changed the account. */
    Offset revision;
};

// What a record did. Each names the item's author and sequence, so that the author learns that its item has landed.
struct Landed {
    Incarnation origin;
    std::uint64_t sequence = 0;
};
/**
 * `admitted` is zero when refused; `shortfall` is what was wanted and not available. Of the two reasons to refuse, only
 * a broken rule comes with a `Refused` as well; a budget that is short does not.
 */
struct DrawDecided {
    GrantId grant;
    BudgetRef budget;
    Tokens admitted;
    Tokens shortfall;
    Incarnation witness;
};
struct GrantChanged {
    GrantId grant;
    GrantState state = GrantState::Open;
    Incarnation witness;
};
/** `counted` is false when the key had been billed before: the tokens go back to the grant. */
struct BillDecided {
    RequestKey key;
    GrantId grant;
    Tokens tokens;
    bool counted = true;
};
/** Who owns the key from now on; nobody: it is void. */
struct ClaimDecided {
    RequestKey key;
    Incarnation owner;
};
struct BudgetChanged {
    BudgetRef budget;
};
/** An entry that the rules refuse, with the reason for logs and operators. */
struct Refused {
    Incarnation origin;
    std::uint64_t sequence = 0;
    std::string reason;
};

using Effect = std::variant<Landed, DrawDecided, GrantChanged, BillDecided, ClaimDecided, BudgetChanged, Refused>;

/** How much a fold remembers. All readers of a stream need the same limits, so only tests set others. */
struct FoldLimits {
    static constexpr std::size_t defaultKeys = 200'000;
    static constexpr std::size_t defaultOrigins = 8'192;

    /** Keys of bills, and as many of claims. */
    std::size_t keys = defaultKeys;
    /** Authors; one with a grant that is not closed is remembered beyond it. */
    std::size_t origins = defaultOrigins;
};

/**
 * @brief The deterministic fold over one ledger stream: the only truth about budgets.
 *
 * Each reader of the same unbroken prefix computes the same state. A gap is refused, never guessed over.
 */
class Fold {
public:
    /** How many keys of bills and claims are remembered; a caller's request id must not be used again within them. */
    static constexpr std::size_t keyWindow = FoldLimits::defaultKeys;

    explicit Fold(const FoldLimits& limits = {});
    ~Fold();
    Fold(Fold&& other) noexcept;
    Fold& operator=(Fold&& other) noexcept;

    /**
     * @brief Applies the record at `offset`.
     * @param offset Position of the record; has to be `nextOffset()`.
     * @param batch The record.
     * @param effects Takes what the record did, in order.
     * @return false with `lastReason()` when the offset leaves a gap or the rules' version is unknown; nothing is
     * applied.
     */
    [[nodiscard]] bool apply(Offset offset, const Batch& batch, std::vector<Effect>& effects);

    /**
     * @brief Starts from a checkpoint, for a reader whose prefix has expired.
     * @return false with `lastReason()` when the state can't be read; the fold is then unchanged.
     */
    [[nodiscard]] bool restore(const Checkpoint& checkpoint);

    /** @return The state after every record below `nextOffset()`; equal states give equal bytes. */
    [[nodiscard]] Checkpoint checkpoint() const;

    [[nodiscard]] Offset nextOffset() const noexcept;
    [[nodiscard]] const std::string& lastReason() const noexcept;

    [[nodiscard]] std::optional<BudgetView> budget(const BudgetRef& ref) const;
    [[nodiscard]] std::optional<AccountView> account(const AccountId& id) const;
    [[nodiscard]] std::optional<GrantView> grant(const GrantId& id) const;
    /** @return Grants that are not closed, in the order of their ids. */
    [[nodiscard]] std::vector<GrantView> openGrants() const;
    [[nodiscard]] std::vector<BudgetRef> budgets() const;
    [[nodiscard]] std::vector<AccountId> accounts() const;
    /** @return The key's owner; nobody when void; nothing when the key was never claimed. */
    [[nodiscard]] std::optional<Incarnation> claimOwner(const RequestKey& key) const;
    /** @return What the key was billed, when it was. */
    [[nodiscard]] std::optional<Tokens> billed(const RequestKey& key) const;
    [[nodiscard]] bool retired(Incarnation incarnation) const;
    /** @return Last sequence of this author that has landed; 0 when none. */
    [[nodiscard]] std::uint64_t lastSequence(Incarnation origin) const;
    /** @return What is wrong with the sums; empty when they are sound, as they always have to be. */
    [[nodiscard]] std::string inconsistency() const;

private:
    [[nodiscard]] bool fail(std::string reason);

    FoldLimits limits_;
    std::unique_ptr<internal::FoldState> state_;
    Offset nextOffset_;
    std::string lastReason_;
};

} // namespace swiftlift::ledger
