#include "Auditor.h"

#include <algorithm>
#include <set>

#include "AuditorMoney.h"
#include "Errors.h"
#include "engine/Answer.h"
#include "swiftlift/transport/Hashing.h"

namespace swiftlift::scenario {

namespace internal {

    constexpr std::size_t shownCases = 5;

    /** All calls with one id of one account are the same request. */
    struct Request {
        std::string keyText;
        RequestKey key;
        std::vector<const Observation*> calls;
    };

    std::vector<Request> requestsOf(const Evidence& evidence)
    {
        std::map<std::pair<std::string, std::string>, Request> requests;
        for (const auto& observation : evidence.observations) {
            Request& request = requests[{ observation.call.account, observation.call.id }];
            if (request.calls.empty()) {
                request.key
                    = transport::requestKey(AccountId(observation.call.account), CallerRequestId(observation.call.id));
                request.keyText = transport::toHex(request.key);
            }
            request.calls.push_back(&observation);
        }
        std::vector<Request> result;
        for (auto& [id, request] : requests)
            result.push_back(std::move(request));
        return result;
    }

    std::string describe(const Observation& observation)
    {
        const auto& [call, answer] = observation;
        return call.account + "/" + call.id + " attempt " + std::to_string(call.attempt) + " at " + call.vm + ": "
            + toText(answer.outcome) + " " + answer.reason + " " + answer.detail;
    }

    bool isAnswered(const Observation* call) { return call->answer.outcome == CallOutcome::Answered; }

    /** Finds what a request's calls, runs and bills have wrong among them. */
    class RequestAudit {
    public:
        RequestAudit(const Evidence& evidence, std::map<std::string, AuditCount>& counts)
            : evidence_(evidence)
            , counts_(counts)
        {
        }

        void take(const Request& request)
        {
            request_ = &request;
            started_ = startsOf(request);
            bills_ = billsOf(request);
            checkOutcomes();
            checkRuns();
            checkBills();
            for (const auto* call : request.calls)
                checkAnswer(*call);
        }

    private:
        void add(const std::string& name, const Observation& where, const std::string& what = {})
        {
            AuditCount& count = counts_.at(name);
            ++count.value;
            if (count.cases.size() < shownCases)
                count.cases.push_back(describe(where) + (what.empty() ? "" : "; " + what));
        }

        std::int64_t startsOf(const Request& request) const
        {
            const auto found = evidence_.runs.find(request.keyText);
            std::int64_t started = 0;
            if (found != evidence_.runs.end()) {
                for (const auto& run : found->second)
                    started += run.started;
            }
            return started;
        }

        KeyBills billsOf(const Request& request) const
        {
            const auto found = evidence_.ledger.bills.find(request.key);
            return found == evidence_.ledger.bills.end() ? KeyBills {} : found->second;
        }

        void checkOutcomes()
        {
            for (const auto* call : request_->calls)
                add(toText(call->answer.outcome), *call);
        }

        void checkRuns()
        {
            const auto& calls = request_->calls;
            const Observation& first = *calls.front();
            if (started_ > 1)
                add(first.call.idempotent ? "runs_again" : "non_idempotent_again", first,
                    std::to_string(started_) + " runs");
            for (const auto* call : calls) {
                if (call->answer.notRun && started_ > 0 && !askedAfter(*call))
                    add("not_run_but_run", *call, std::to_string(started_) + " runs");
            }
        }

        /** A caller that asks again after it was told "not run" asks for a run; only the last word is checked then. */
        bool askedAfter(const Observation& told) const
        {
            return std::any_of(request_->calls.begin(), request_->calls.end(),
                [&told](const Observation* call) { return call->answer.sentAt >= told.answer.endedAt; });
        }

        void checkBills()
        {
            const auto& calls = request_->calls;
            if (bills_.counted > 1)
                add("double_billed", *calls.front(), std::to_string(bills_.counted) + " bills");
            const auto answered = std::find_if(calls.begin(), calls.end(), isAnswered);
            if (answered == calls.end()) {
                if (bills_.counted > 0)
                    add("billed_unanswered", *calls.back(), std::to_string(bills_.tokens.value()) + " tokens");
                return;
            }
            if (bills_.counted == 0)
                add("unbilled", **answered);
            else if (bills_.tokens.value() != (*answered)->answer.billedTokens)
                add("bill_mismatch", **answered,
                    "log " + std::to_string(bills_.tokens.value()) + ", answer "
                        + std::to_string((*answered)->answer.billedTokens));
        }

        void checkAnswer(const Observation& observation)
        {
            if (!isAnswered(&observation))
                return;
            if (const std::string wrong = whatIsWrong(observation); !wrong.empty())
                add("wrong_answers", observation, wrong);
        }

        std::string whatIsWrong(const Observation& observation) const
        {
            const auto& [call, answer] = observation;
            if (!answer.request.empty() && answer.request != call.id)
                return "names request " + answer.request;
            if (!call.model)
                return {};
            const auto tokens = standins::answerTokenCount(call.prompt, static_cast<std::uint64_t>(call.maxTokens));
            std::string expected;
            for (std::uint64_t index = 0; index < tokens; ++index)
                expected += standins::answerToken(call.prompt, index);
            if (answer.text != expected)
                return "text of " + std::to_string(answer.text.size()) + " bytes, expected another of "
                    + std::to_string(expected.size());
            if (!answer.inOrder || answer.answerTokens != static_cast<std::int64_t>(tokens))
                return "tokens out of order or miscounted";
            const auto prompt = static_cast<std::int64_t>(standins::promptTokenCount(call.prompt));
            if (answer.billedTokens != prompt + answer.answerTokens)
                return "billed " + std::to_string(answer.billedTokens);
            return {};
        }

        const Evidence& evidence_;
        std::map<std::string, AuditCount>& counts_;
        const Request* request_ = nullptr;
        std::int64_t started_ = 0;
        KeyBills bills_;
    };

    const std::vector<std::pair<const char*, const char*>>& countNames()
    {
        static const std::vector<std::pair<const char*, const char*>> names {
            { "answered", "calls answered" },
            { "refused", "calls refused" },
            { "unknown", "calls told that the outcome is unknown" },
            { "broken", "calls that got no final word" },
            { "overspend", "tokens billed above what was bought, by answers or by the log" },
            { "double_billed", "requests billed more than once by the log" },
            { "unbilled", "requests answered and not billed by the log" },
            { "bill_mismatch", "requests whose answer and log name different bills" },
            { "billed_unanswered", "requests billed, with no whole answer seen by their caller" },
            { "wrong_answers", "answers that are not whole or not the caller's own" },
            { "not_run_but_run", "calls told not_run whose request a backend server ran" },
            { "non_idempotent_again", "non-idempotent requests run more than once" },
            { "runs_again", "idempotent requests run more than once" },
            { "false_refusals", "calls refused for budget though unspent money covered them" },
            { "false_refusals_in_flight", "the same, with what was in flight counted as spent" },
            { "refused_for_budget", "calls refused for budget" },
            { "grants_overdrawn", "bills beyond their grant's amount" },
        };
        return names;
    }

    double percentile(std::vector<double> values, double share)
    {
        if (values.empty())
            return 0;
        std::sort(values.begin(), values.end());
        const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
        return values[index];
    }

    void addLatencies(AuditReport& report, const Evidence& evidence)
    {
        std::map<std::string, std::vector<double>> values;
        for (const auto& [call, answer] : evidence.observations) {
            if (answer.outcome == CallOutcome::Refused)
                values["refusal"].push_back(millisecondsBetween(answer.sentAt, answer.endedAt));
            if (answer.outcome == CallOutcome::Answered)
                values["answer"].push_back(millisecondsBetween(answer.sentAt, answer.endedAt));
            if (answer.firstTokenAt)
                values["first_token"].push_back(millisecondsBetween(answer.sentAt, *answer.firstTokenAt));
        }
        constexpr double median = 0.5;
        constexpr double high = 0.95;
        for (const auto& [name, list] : values) {
            report.latencies.emplace_back(name + "_p50_ms", percentile(list, median));
            report.latencies.emplace_back(name + "_p95_ms", percentile(list, high));
        }
    }

} // namespace internal

AuditReport audit(const Evidence& evidence)
{
    std::map<std::string, AuditCount> counts;
    for (const auto& [name, meaning] : internal::countNames())
        counts[name] = { name, 0, meaning, {} };
    internal::RequestAudit requests(evidence, counts);
    for (const auto& request : internal::requestsOf(evidence))
        requests.take(request);
    auditMoney(evidence, counts);
    AuditReport report;
    for (const auto& [name, meaning] : internal::countNames())
        report.counts.push_back(counts.at(name));
    internal::addLatencies(report, evidence);
    return report;
}

} // namespace swiftlift::scenario
