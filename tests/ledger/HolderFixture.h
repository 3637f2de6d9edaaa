#pragma once

#include <memory>
#include <optional>
#include <utility>
#include <variant>

#include "ledger/FoldFixture.h"
#include "swiftlift/ledger/Holder.h"
#include "swiftlift/ledger/Witness.h"

namespace swiftlift::ledger {

/** Alice's holder over the fixture's fold; her entries land when `land` is called. */
class HolderFixture : public FoldFixture {
protected:
    HolderFixture() { environment.logReachable = true; }

    static Tokens tokens(std::int64_t count) { return Tokens { count }; }

    /** Starts with a budget, and the surroundings told. */
    void start(std::int64_t bought, std::string_view policy = "grants", const PolicySettings& figures = {})
    {
        open(bought);
        holder.emplace(alice, makePolicy(policy, figures), fold);
        tick();
    }
    /** As above, in a fleet whose witnesses never close what they have sealed. */
    void startSealOnly(std::int64_t bought)
    {
        PolicySettings figures;
        figures.witnessesClose = false;
        start(bought, "grants", figures);
    }

    void pass(Duration time)
    {
        now += time;
        tick();
    }
    void tick() { holder->onTick(now, environment, actions); }

    /** Lets all emitted entries land and be read back, and what they bring about as well. */
    void land()
    {
        while (const std::optional<Entry> entry = takeEntry())
            landAs(alice, *entry);
    }
    void landAs(Incarnation origin, Entry entry)
    {
        take(origin, std::move(entry));
        for (const Effect& effect : std::vector<Effect>(effects))
            holder->onEffect(effect, now, actions);
    }

    std::optional<Reservation> reserve(std::uint64_t key, std::int64_t amount)
    {
        const auto result = holder->reserve(budget, keyOf(key), tokens(amount), now, actions);
        if (const auto* const shortage = std::get_if<Shortage>(&result)) {
            lastShortage = *shortage;
            return {};
        }
        return std::get<Reservation>(result);
    }

    /** Reserves, with a draw and a raise when they are needed. */
    Reservation have(std::uint64_t key, std::int64_t amount)
    {
        std::optional<Reservation> reservation = reserve(key, amount);
        for (int tries = 0; !reservation && tries < 3; ++tries) {
            land();
            acknowledge();
            reservation = reserve(key, amount);
        }
        EXPECT_TRUE(reservation.has_value());
        return reservation.value_or(Reservation {});
    }

    /** The witness acknowledges the latest raise. */
    void acknowledge()
    {
        if (const auto raise = lastOf<SendRaise>())
            holder->onCeilingsAcked(raise->to, raise->ceilings, now, actions);
    }

    /** @return The latest action of this kind since `actions` was cleared. */
    template <typename Kind> std::optional<Kind> lastOf() const
    {
        std::optional<Kind> found;
        for (const LedgerAction& action : actions) {
            if (const Kind* const kind = std::get_if<Kind>(&action))
                found = *kind;
        }
        return found;
    }

    /** @return The latest emitted entry of this kind that has not landed. */
    template <typename Kind> std::optional<Kind> lastEntry() const
    {
        std::optional<Kind> found;
        for (const LedgerAction& action : actions) {
            const auto* const entry = std::get_if<AppendEntry>(&action);
            if (const Kind* const kind = entry ? std::get_if<Kind>(&entry->entry) : nullptr)
                found = *kind;
        }
        return found;
    }

    std::optional<Entry> takeEntry()
    {
        for (auto at = actions.begin(); at != actions.end(); ++at) {
            if (const auto* const append = std::get_if<AppendEntry>(&*at)) {
                const Entry entry = append->entry;
                actions.erase(at);
                return entry;
            }
        }
        return {};
    }

    HoldingView holding() const { return holder->holdings().empty() ? HoldingView {} : holder->holdings().front(); }

    Instant now {};
    HolderEnvironment environment;
    std::optional<Holder> holder;
    LedgerActions actions;
    Shortage lastShortage;
};

} // namespace swiftlift::ledger
