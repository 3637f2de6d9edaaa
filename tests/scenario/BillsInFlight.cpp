#include "BillsInFlight.h"

#include <algorithm>
#include <sstream>
#include <utility>
#include <variant>

#include "swiftlift/transport/Hashing.h"

namespace swiftlift::scenario {

namespace internal {

    /** Where a bill was first taken by the log. */
    struct Landing {
        std::uint64_t record = 0;
        Incarnation author;
        std::uint64_t sequence = 0;
    };

    std::map<RequestKey, Landing> landingsOf(const std::vector<ledger::Batch>& records)
    {
        std::map<RequestKey, Landing> landings;
        for (std::uint64_t record = 0; record < records.size(); ++record) {
            for (const auto& item : records[record].items) {
                if (const auto* bill = std::get_if<ledger::Bill>(&item.entry))
                    landings.try_emplace(bill->key, Landing { record, item.origin, item.sequence });
            }
        }
        return landings;
    }

    /** Takes what the router itself said of the bill, and under which incarnation. */
    void takeOwnWords(BillInFlight& bill, const std::vector<Json>& lines)
    {
        std::string incarnation;
        for (const auto& line : lines) {
            if (line.value("kind", "") == "start")
                incarnation = line.value("incarnation", "");
            if (line.value("kind", "") == "bill" && line.value("request", "") == bill.request) {
                bill.author = incarnation;
                bill.told = line;
            }
        }
    }

    bool covers(const Json& line, const BillInFlight& bill)
    {
        const bool appended = line.value("change", "") == "appended_for_peer" && line.value("peer", "") == bill.author;
        return appended && line.value("first", std::uint64_t { 0 }) <= bill.sequence
            && bill.sequence <= line.value("last", std::uint64_t { 0 });
    }

    std::vector<std::string> appendersOf(const BillInFlight& bill, const RouterLines& lines)
    {
        std::vector<std::string> vms;
        for (const auto& [vm, words] : lines) {
            if (std::any_of(words.begin(), words.end(), [&bill](const Json& line) { return covers(line, bill); }))
                vms.push_back(vm);
        }
        return vms;
    }

    bool concerns(const KillMark& mark, const Observation& seen)
    {
        const auto& [call, answer] = seen;
        return answer.outcome == CallOutcome::Answered && answer.billedTokens > 0 && answer.sentAt <= mark.at
            && answer.sentAt > mark.before && std::find(mark.vms.begin(), mark.vms.end(), call.vm) != mark.vms.end();
    }

} // namespace internal

Json BillInFlight::toJson() const
{
    return { { "request", request }, { "vm", vm }, { "author", author }, { "answered_ms_before", answeredMsBefore },
        { "record", record ? Json(*record) : Json(nullptr) }, { "sequence", sequence }, { "appended_by", appendedBy },
        { "told", told } };
}

std::vector<BillInFlight> findBillsInFlight(const KillMark& mark, const std::vector<Observation>& observations,
    const std::vector<ledger::Batch>& records, const RouterLines& lines)
{
    const auto landings = internal::landingsOf(records);
    std::vector<BillInFlight> bills;
    for (const auto& seen : observations) {
        if (!internal::concerns(mark, seen))
            continue;
        const auto key = transport::requestKey(AccountId(seen.call.account), CallerRequestId(seen.call.id));
        const auto landing = landings.find(key);
        if (landing != landings.end() && landing->second.record < mark.records)
            continue;
        BillInFlight bill;
        bill.request = seen.call.id;
        bill.vm = seen.call.vm;
        bill.answeredMsBefore = millisecondsBetween(seen.answer.endedAt, mark.at);
        if (const auto words = lines.find(seen.call.vm); words != lines.end())
            internal::takeOwnWords(bill, words->second);
        if (landing != landings.end()) {
            bill.record = landing->second.record;
            bill.sequence = landing->second.sequence;
            bill.author = transport::toHex(landing->second.author.value());
            bill.appendedBy = internal::appendersOf(bill, lines);
        }
        bills.push_back(std::move(bill));
    }
    return bills;
}

std::string describe(const KillMark& mark, const std::vector<BillInFlight>& bills)
{
    const auto count = [&bills](const auto& is) { return std::count_if(bills.begin(), bills.end(), is); };
    const auto lost = count([](const BillInFlight& bill) { return !bill.record; });
    const auto kept = count([](const BillInFlight& bill) { return bill.record && !bill.appendedBy.empty(); });
    std::ostringstream text;
    text << "kill of";
    for (const auto& vm : mark.vms)
        text << ' ' << vm;
    text << ": " << (bills.empty() ? "not met" : "met") << ", bills in flight " << bills.size()
         << ", appended by peers " << kept << ", lost " << lost << '\n';
    for (const auto& bill : bills)
        text << "    " << bill.toJson().dump() << '\n';
    return text.str();
}

} // namespace swiftlift::scenario
