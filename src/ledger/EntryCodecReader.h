#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "ledger.pb.h"
#include "swiftlift/ledger/Entry.h"

namespace swiftlift::ledger::internal {

/** Decodes one record. The first error makes the whole record void. */
class BatchReader {
public:
    /** @param reason Receives the cause when the record cannot be decoded. */
    explicit BatchReader(std::string& reason);

    /** @return The batch, or `std::nullopt` when the record cannot be decoded. See `decodeBatch()`. */
    [[nodiscard]] std::optional<Batch> read(std::string_view record);

private:
    [[nodiscard]] bool fail(const std::string& reason);

    [[nodiscard]] bool readItem(const proto::ledger::Item& in, Item& out);
    [[nodiscard]] bool readEntry(const proto::ledger::Item& in, Entry& out);

    [[nodiscard]] bool readValue(const proto::ledger::OpenAccount& in, OpenAccount& out);
    [[nodiscard]] bool readValue(const proto::ledger::CloseAccount& in, CloseAccount& out);
    [[nodiscard]] bool readValue(const proto::ledger::TopUp& in, TopUp& out);
    [[nodiscard]] bool readValue(const proto::ledger::Fund& in, Fund& out);
    [[nodiscard]] bool readValue(const proto::ledger::Draw& in, Draw& out);
    [[nodiscard]] bool readValue(const proto::ledger::Return& in, Return& out);
    [[nodiscard]] bool readValue(const proto::ledger::WriteOff& in, WriteOff& out);
    [[nodiscard]] bool readValue(const proto::ledger::CloseGrant& in, CloseGrant& out);
    [[nodiscard]] bool readValue(const proto::ledger::ChangeWitness& in, ChangeWitness& out);
    [[nodiscard]] bool readValue(const proto::ledger::Seal& in, Seal& out);
    [[nodiscard]] bool readValue(const proto::ledger::Bill& in, Bill& out);
    [[nodiscard]] bool readValue(const proto::ledger::Claim& in, Claim& out);
    [[nodiscard]] bool readValue(const proto::ledger::VoidClaim& in, VoidClaim& out);
    [[nodiscard]] bool readValue(const proto::ledger::Checkpoint& in, Checkpoint& out);

    [[nodiscard]] bool readGrant(const proto::ledger::Grant& in, GrantId& out);
    [[nodiscard]] bool readBudget(const proto::ledger::Budget& in, BudgetRef& out);
    [[nodiscard]] bool readTokens(std::int64_t in, Tokens& out);

    std::string& reason_;
};

} // namespace swiftlift::ledger::internal
