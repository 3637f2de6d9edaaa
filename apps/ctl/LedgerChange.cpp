#include "ctl/LedgerChange.h"

#include <variant>

#include "ctl/LedgerReader.h"
#include "swiftlift/ledger/EntryCodec.h"
#include "swiftlift/ledger/Shard.h"
#include "swiftlift/transport/Hashing.h"

namespace swiftlift::ctl {

namespace {

    /** @return True if the entry found under this change's id is the same change as the requested one. */
    [[nodiscard]] bool isSameChange(const ledger::Entry& landed, const ledger::Entry& requested)
    {
        const auto* const first = std::get_if<ledger::CloseAccount>(&landed);
        const auto* const second = std::get_if<ledger::CloseAccount>(&requested);
        if (first != nullptr && second != nullptr) {
            // The revisions may differ: closing the account changed its revision before this repeated command read it.
            return first->account == second->account;
        }
        return landed == requested;
    }

    /** Makes one change of one account and reports its outcome. */
    class LedgerChange {
    public:
        LedgerChange(const ChangeContext& context, std::uint32_t shards, const AccountId& account)
            : context_(context)
            , reader_(context.log, ledger::ledgerStream(ledger::shardOf(account, shards)))
        {
            reader_.watch(Incarnation(context.id));
        }

        [[nodiscard]] bool readBefore() { return reader_.catchUp(); }

        [[nodiscard]] const LedgerReader& reader() const noexcept { return reader_; }

        [[nodiscard]] Report make(const ledger::Entry& entry, const std::string& done)
        {
            const bool landedBefore = reader_.verdict().has_value();
            const ledger::Batch batch { ledger::rulesVersion, { { Incarnation(context_.id), 1, entry } } };
            const auto landed = [&] { return reader_.verdict().has_value(); };
            if (!landedBefore && !submit(context_, reader_, ledger::encode(batch), landed)) {
                return unknownReport(context_, reader_);
            }
            return verdictReport(*reader_.verdict(), entry, done);
        }

    private:
        [[nodiscard]] Report verdictReport(
            const LedgerVerdict& verdict, const ledger::Entry& entry, const std::string& done) const
        {
            if (!verdict.offset) {
                return failure(ExitCode::Unreachable, "unknown",
                    "the change with this id has landed, but its record has expired: whether it was admitted can only "
                    "be seen in `accounts` and `budgets`");
            }
            if (verdict.entry && !isSameChange(*verdict.entry, entry)) {
                return failure(
                    ExitCode::Refused, "refused", "this id has been used for another change; nothing was sent");
            }
            const auto place = reader_.stream().value() + " offset " + std::to_string(verdict.offset->value());
            Report report { ExitCode::Ok, done + " (" + place + ")\n", placeJson(verdict) };
            report.json["outcome"] = "admitted";
            if (verdict.refusal) {
                report.code = ExitCode::Refused;
                report.text = "refused at " + place + ": " + *verdict.refusal + '\n';
                report.json["outcome"] = "refused";
                report.json["reason"] = *verdict.refusal;
            }
            return report;
        }

        [[nodiscard]] nlohmann::json placeJson(const LedgerVerdict& verdict) const
        {
            return { { "id", transport::toHex(context_.id) }, { "stream", reader_.stream().value() },
                { "offset", verdict.offset->value() } };
        }

        const ChangeContext& context_;
        LedgerReader reader_;
    };

} // namespace

Report createAccount(
    const ChangeContext& context, std::uint32_t shards, const AccountId& account, const std::string& keyHash)
{
    LedgerChange change(context, shards, account);
    if (!change.readBefore()) {
        return notSentReport(change.reader());
    }
    return change.make(ledger::OpenAccount { account, keyHash }, "account " + account.value() + " created");
}

Report closeAccount(
    const ChangeContext& context, std::uint32_t shards, const AccountId& account, const std::optional<Offset>& expected)
{
    LedgerChange change(context, shards, account);
    if (!change.readBefore()) {
        return notSentReport(change.reader());
    }
    const auto view = change.reader().fold().account(account);
    if (!view) {
        return failure(ExitCode::Refused, "refused", "there is no account " + account.value());
    }
    const ledger::CloseAccount entry { account, expected.value_or(view->revision) };
    return change.make(entry, "account " + account.value() + " closed");
}

Report writeOff(const ChangeContext& context, std::uint32_t shards, const AccountId& account, const GrantId& grant)
{
    LedgerChange change(context, shards, account);
    if (!change.readBefore()) {
        return notSentReport(change.reader());
    }
    return change.make(ledger::WriteOff { grant }, "grant written off: what it had not billed is free again");
}

Report topUp(const ChangeContext& context, std::uint32_t shards, const BudgetRef& budget, Tokens amount)
{
    LedgerChange change(context, shards, budget.account);
    if (!change.readBefore()) {
        return notSentReport(change.reader());
    }
    auto report = change.make(ledger::TopUp { budget, amount },
        std::to_string(amount.value()) + " tokens added to " + budget.account.value() + '/' + budget.budget.value());
    if (const auto view = change.reader().fold().budget(budget); view && report.code == ExitCode::Ok) {
        report.text += "bought so far: " + std::to_string(view->bought.value()) + '\n';
        report.json["bought"] = view->bought.value();
    }
    return report;
}

} // namespace swiftlift::ctl
