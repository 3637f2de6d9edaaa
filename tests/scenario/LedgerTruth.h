#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "HttpClient.h"
#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"
#include "swiftlift/ledger/Fold.h"

namespace swiftlift::scenario {

/** What one key was billed, by every record of the log. */
struct KeyBills {
    /** Bills that the fold counted; more than one is a double billing. */
    int counted = 0;
    /** Bills that the fold gave back, since the key had been billed before. */
    int givenBack = 0;
    Tokens tokens;
};

struct BudgetTruth {
    Tokens bought;
    Tokens billed;
    Tokens held;
};

/** The ledger as the log's own records make it, expired ones included. */
struct LedgerTruth {
    std::map<BudgetRef, BudgetTruth> budgets;
    std::map<RequestKey, KeyBills> bills;
    std::uint64_t records = 0;
    /** Bills counted of a grant beyond its amount; each would be an overspend that the budget's sum may hide. */
    std::uint64_t grantsOverdrawn = 0;
};

/**
 * Reads one stream of the log stand-in by its audit, which knows outages and retention not.
 * @param log Where the stand-in listens.
 * @param stream Name of the stream.
 * @return The records, from offset 0.
 */
[[nodiscard]] std::vector<std::string> readWholeStream(const Address& log, const std::string& stream);

/** Name of the stream with all accounts of a scenario. */
inline constexpr const char* ledgerStream = "ledger-0";

/** @return The records of `ledgerStream`, from offset 0; one that can't be read is empty. */
[[nodiscard]] std::vector<ledger::Batch> readLedgerBatches(const Address& log);

/** @return The fold over `ledger-0` of the log stand-in. Throws when the fold refuses a record. */
[[nodiscard]] LedgerTruth readLedgerTruth(const Address& log);

} // namespace swiftlift::scenario
