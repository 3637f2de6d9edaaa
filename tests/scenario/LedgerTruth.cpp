#include "LedgerTruth.h"

#include <algorithm>

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include "Errors.h"
#include "swiftlift/ledger/EntryCodec.h"

namespace swiftlift::scenario {

namespace internal {

    std::string fromBase64(const std::string& text)
    {
        constexpr std::size_t group = 4;
        constexpr std::size_t groupBytes = 3;
        std::string bytes(text.size() / group * groupBytes, '\0');
        const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
            reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
        if (length < 0)
            throw BrokenScript("the log's audit is not base64");
        const auto padding = static_cast<std::size_t>(std::count(text.begin(), text.end(), '='));
        bytes.resize(static_cast<std::size_t>(length) - padding);
        return bytes;
    }

    void take(LedgerTruth& truth, const ledger::BillDecided& bill)
    {
        KeyBills& bills = truth.bills[bill.key];
        if (bill.counted) {
            ++bills.counted;
            bills.tokens += bill.tokens;
        } else {
            ++bills.givenBack;
        }
    }

    void take(LedgerTruth& truth, const ledger::Fold& fold, const std::vector<ledger::Effect>& effects)
    {
        for (const auto& effect : effects) {
            const auto* bill = std::get_if<ledger::BillDecided>(&effect);
            if (!bill)
                continue;
            take(truth, *bill);
            const auto grant = fold.grant(bill->grant);
            if (grant && grant->billed > grant->amount)
                ++truth.grantsOverdrawn;
        }
    }

} // namespace internal

std::vector<std::string> readWholeStream(const Address& log, const std::string& stream)
{
    const HttpReply reply = exchange({ log, "GET", "/audit/records?stream=" + stream, {}, {} }, longBound);
    const auto body = nlohmann::json::parse(reply.body, nullptr, false);
    if (!reply.ok() || !body.is_object() || body.value("first_offset", 1) != 0)
        throw BrokenScript("the log's audit of " + stream + " can't be had whole: " + reply.error);
    std::vector<std::string> records;
    for (const auto& record : body.at("records"))
        records.push_back(internal::fromBase64(record.get<std::string>()));
    return records;
}

std::vector<ledger::Batch> readLedgerBatches(const Address& log)
{
    std::vector<ledger::Batch> batches;
    for (const auto& record : readWholeStream(log, ledgerStream)) {
        std::string reason;
        batches.push_back(ledger::decodeBatch(record, reason).value_or(ledger::Batch {}));
    }
    return batches;
}

LedgerTruth readLedgerTruth(const Address& log)
{
    LedgerTruth truth;
    ledger::Fold fold;
    for (const auto& batch : readLedgerBatches(log)) {
        std::vector<ledger::Effect> effects;
        if (!fold.apply(Offset(truth.records), batch, effects))
            throw ExpectationFailed(
                "the fold refuses record " + std::to_string(truth.records) + " of the ledger: " + fold.lastReason());
        internal::take(truth, fold, effects);
        ++truth.records;
    }
    for (const auto& ref : fold.budgets()) {
        if (const auto view = fold.budget(ref))
            truth.budgets[ref] = { view->bought, view->billed, view->held };
    }
    return truth;
}

} // namespace swiftlift::scenario
