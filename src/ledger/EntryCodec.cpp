#include "swiftlift/ledger/EntryCodec.h"

#include <variant>

#include "ledger.pb.h"
#include "ledger/EntryCodecReader.h"

namespace swiftlift::ledger {

namespace {

    namespace pb = swiftlift::proto::ledger;

    /** Encodes an entry into an item. */
    class EntryWriter {
    public:
        explicit EntryWriter(pb::Item& out)
            : out_(out)
        {
        }

        void operator()(const OpenAccount& entry)
        {
            pb::OpenAccount& written = *out_.mutable_open_account();
            written.set_account(entry.account.value());
            written.set_key_hash(entry.keyHash);
        }

        void operator()(const CloseAccount& entry)
        {
            pb::CloseAccount& written = *out_.mutable_close_account();
            written.set_account(entry.account.value());
            written.set_expected_revision(entry.expectedRevision.value());
        }

        void operator()(const TopUp& entry)
        {
            pb::TopUp& written = *out_.mutable_top_up();
            toProto(entry.budget, *written.mutable_budget());
            written.set_tokens(entry.amount.value());
        }

        void operator()(const Fund& entry)
        {
            pb::Fund& written = *out_.mutable_fund();
            toProto(entry.budget, *written.mutable_budget());
            written.set_total(entry.total.value());
        }

        void operator()(const Draw& entry)
        {
            pb::Draw& written = *out_.mutable_draw();
            toProto(entry.grant, *written.mutable_grant());
            toProto(entry.budget, *written.mutable_budget());
            written.set_wanted(entry.wanted.value());
            written.set_least(entry.least.value());
            written.set_witness(entry.witness.value());
        }

        void operator()(const Return& entry)
        {
            pb::Return& written = *out_.mutable_return_part();
            toProto(entry.grant, *written.mutable_grant());
            written.set_tokens(entry.amount.value());
        }

        void operator()(const WriteOff& entry) { toProto(entry.grant, *out_.mutable_write_off()->mutable_grant()); }
        void operator()(const CloseGrant& entry) { toProto(entry.grant, *out_.mutable_close_grant()->mutable_grant()); }

        void operator()(const ChangeWitness& entry) { writeCeiling(entry, *out_.mutable_change_witness()); }
        void operator()(const Seal& entry) { writeCeiling(entry, *out_.mutable_seal()); }

        void operator()(const Bill& entry)
        {
            pb::Bill& written = *out_.mutable_bill();
            writeKey(entry.key, written);
            toProto(entry.grant, *written.mutable_grant());
            written.set_tokens(entry.tokens.value());
        }

        void operator()(const Claim& entry) { writeKey(entry.key, *out_.mutable_claim()); }
        void operator()(const VoidClaim& entry) { writeKey(entry.key, *out_.mutable_void_claim()); }

        void operator()(const Checkpoint& entry)
        {
            pb::Checkpoint& written = *out_.mutable_checkpoint();
            written.set_as_of(entry.asOf.value());
            written.set_state(entry.state);
        }

    private:
        template <typename Message> static void writeKey(const RequestKey& key, Message& out)
        {
            out.set_key_high(key.high);
            out.set_key_low(key.low);
        }

        template <typename EntryWithCeiling, typename Message>
        static void writeCeiling(const EntryWithCeiling& entry, Message& out)
        {
            toProto(entry.grant, *out.mutable_grant());
            out.set_witness(entry.witness.value());
            out.set_ceiling(entry.ceiling.value());
        }

        pb::Item& out_;
    };

} // namespace

std::string encode(const Batch& batch)
{
    pb::Batch out;
    out.set_rules_version(batch.version);
    for (const Item& item : batch.items) {
        pb::Item& written = *out.add_items();
        written.set_origin(item.origin.value());
        written.set_sequence(item.sequence);
        std::visit(EntryWriter(written), item.entry);
    }
    return out.SerializeAsString();
}

std::optional<Batch> decodeBatch(std::string_view record, std::string& reason)
{
    return internal::BatchReader(reason).read(record);
}

void toProto(const GrantId& grant, pb::Grant& out)
{
    out.set_holder(grant.holder.value());
    out.set_number(grant.number);
}

void toProto(const BudgetRef& budget, pb::Budget& out)
{
    out.set_account(budget.account.value());
    out.set_budget(budget.budget.value());
}

std::optional<GrantId> fromProto(const pb::Grant& grant, std::string& reason)
{
    if (grant.holder() == 0 || grant.number() == 0) {
        reason = "grant without holder or number";
        return {};
    }
    return GrantId { Incarnation { grant.holder() }, grant.number() };
}

std::optional<BudgetRef> fromProto(const pb::Budget& budget, std::string& reason)
{
    for (const std::string& name : { budget.account(), budget.budget() }) {
        if (name.empty() || name.size() > maxNameBytes) {
            reason = "name of an account or budget with a length of " + std::to_string(name.size()) + " bytes";
            return {};
        }
    }
    return BudgetRef { AccountId { budget.account() }, BudgetId { budget.budget() } };
}

} // namespace swiftlift::ledger
