#include "ledger/EntryCodecReader.h"

#include <limits>

#include "swiftlift/ledger/EntryCodec.h"

namespace swiftlift::ledger::internal {

namespace {

    namespace pb = swiftlift::proto::ledger;

    template <typename Message> RequestKey keyOf(const Message& in)
    {
        return RequestKey { in.key_high(), in.key_low() };
    }

} // namespace

BatchReader::BatchReader(std::string& reason)
    : reason_(reason)
{
}

std::optional<Batch> BatchReader::read(std::string_view record)
{
    pb::Batch in;
    if (record.size() > static_cast<std::size_t>(std::numeric_limits<int>::max())
        || !in.ParseFromArray(record.data(), static_cast<int>(record.size()))) {
        reason_ = "the bytes are not an encoded batch";
        return {};
    }
    if (in.rules_version() == 0) {
        reason_ = "batch without a rules version";
        return {};
    }
    Batch batch { in.rules_version(), {} };
    if (batch.version > rulesVersion)
        return batch;
    for (const pb::Item& item : in.items()) {
        if (!readItem(item, batch.items.emplace_back()))
            return {};
    }
    return batch;
}

bool BatchReader::fail(const std::string& reason)
{
    reason_ = reason;
    return false;
}

bool BatchReader::readItem(const pb::Item& in, Item& out)
{
    if (in.origin() == 0 || in.sequence() == 0)
        return fail("item without author or sequence");
    out.origin = Incarnation { in.origin() };
    out.sequence = in.sequence();
    return readEntry(in, out.entry);
}

bool BatchReader::readEntry(const pb::Item& in, Entry& out)
{
    switch (in.entry_case()) {
    case pb::Item::kOpenAccount:
        return readValue(in.open_account(), out.emplace<OpenAccount>());
    case pb::Item::kCloseAccount:
        return readValue(in.close_account(), out.emplace<CloseAccount>());
    case pb::Item::kTopUp:
        return readValue(in.top_up(), out.emplace<TopUp>());
    case pb::Item::kFund:
        return readValue(in.fund(), out.emplace<Fund>());
    case pb::Item::kDraw:
        return readValue(in.draw(), out.emplace<Draw>());
    case pb::Item::kReturnPart:
        return readValue(in.return_part(), out.emplace<Return>());
    case pb::Item::kWriteOff:
        return readValue(in.write_off(), out.emplace<WriteOff>());
    case pb::Item::kCloseGrant:
        return readValue(in.close_grant(), out.emplace<CloseGrant>());
    case pb::Item::kChangeWitness:
        return readValue(in.change_witness(), out.emplace<ChangeWitness>());
    case pb::Item::kSeal:
        return readValue(in.seal(), out.emplace<Seal>());
    case pb::Item::kBill:
        return readValue(in.bill(), out.emplace<Bill>());
    case pb::Item::kClaim:
        return readValue(in.claim(), out.emplace<Claim>());
    case pb::Item::kVoidClaim:
        return readValue(in.void_claim(), out.emplace<VoidClaim>());
    case pb::Item::kCheckpoint:
        return readValue(in.checkpoint(), out.emplace<Checkpoint>());
    case pb::Item::ENTRY_NOT_SET:
        break;
    }
    return fail("item without an entry of a known kind");
}

bool BatchReader::readValue(const pb::OpenAccount& in, OpenAccount& out)
{
    if (in.account().empty() || in.account().size() > maxNameBytes)
        return fail("account name with a length of " + std::to_string(in.account().size()) + " bytes");
    if (in.key_hash().empty() || in.key_hash().size() > maxKeyHashBytes)
        return fail("key hash with a length of " + std::to_string(in.key_hash().size()) + " bytes");
    out = OpenAccount { AccountId { in.account() }, in.key_hash() };
    return true;
}

bool BatchReader::readValue(const pb::CloseAccount& in, CloseAccount& out)
{
    if (in.account().empty() || in.account().size() > maxNameBytes)
        return fail("account name with a length of " + std::to_string(in.account().size()) + " bytes");
    out = CloseAccount { AccountId { in.account() }, Offset { in.expected_revision() } };
    return true;
}

bool BatchReader::readValue(const pb::TopUp& in, TopUp& out)
{
    return readBudget(in.budget(), out.budget) && readTokens(in.tokens(), out.amount);
}

bool BatchReader::readValue(const pb::Fund& in, Fund& out)
{
    return readBudget(in.budget(), out.budget) && readTokens(in.total(), out.total);
}

bool BatchReader::readValue(const pb::Draw& in, Draw& out)
{
    out.witness = Incarnation { in.witness() };
    return readGrant(in.grant(), out.grant) && readBudget(in.budget(), out.budget)
        && readTokens(in.wanted(), out.wanted) && readTokens(in.least(), out.least);
}

bool BatchReader::readValue(const pb::Return& in, Return& out)
{
    return readGrant(in.grant(), out.grant) && readTokens(in.tokens(), out.amount);
}

bool BatchReader::readValue(const pb::WriteOff& in, WriteOff& out) { return readGrant(in.grant(), out.grant); }
bool BatchReader::readValue(const pb::CloseGrant& in, CloseGrant& out) { return readGrant(in.grant(), out.grant); }

bool BatchReader::readValue(const pb::ChangeWitness& in, ChangeWitness& out)
{
    out.witness = Incarnation { in.witness() };
    return readGrant(in.grant(), out.grant) && readTokens(in.ceiling(), out.ceiling);
}

bool BatchReader::readValue(const pb::Seal& in, Seal& out)
{
    out.witness = Incarnation { in.witness() };
    return readGrant(in.grant(), out.grant) && readTokens(in.ceiling(), out.ceiling);
}

bool BatchReader::readValue(const pb::Bill& in, Bill& out)
{
    out.key = keyOf(in);
    return readGrant(in.grant(), out.grant) && readTokens(in.tokens(), out.tokens);
}

bool BatchReader::readValue(const pb::Claim& in, Claim& out)
{
    out.key = keyOf(in);
    return true;
}

bool BatchReader::readValue(const pb::VoidClaim& in, VoidClaim& out)
{
    out.key = keyOf(in);
    return true;
}

bool BatchReader::readValue(const pb::Checkpoint& in, Checkpoint& out)
{
    out = Checkpoint { Offset { in.as_of() }, in.state() };
    return true;
}

bool BatchReader::readGrant(const pb::Grant& in, GrantId& out)
{
    const std::optional<GrantId> grant = fromProto(in, reason_);
    out = grant.value_or(GrantId {});
    return grant.has_value();
}

bool BatchReader::readBudget(const pb::Budget& in, BudgetRef& out)
{
    const std::optional<BudgetRef> budget = fromProto(in, reason_);
    out = budget.value_or(BudgetRef {});
    return budget.has_value();
}

bool BatchReader::readTokens(std::int64_t in, Tokens& out)
{
    if (in < 0)
        return fail("negative number of tokens");
    out = Tokens { in };
    return true;
}

} // namespace swiftlift::ledger::internal
