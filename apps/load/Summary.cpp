#include "load/Summary.h"

#include <numeric>

namespace swiftlift::load {

namespace {

    struct Samples {
        std::vector<double> firstToken;
        std::vector<double> betweenTokens;
        std::vector<double> whole;
        std::vector<double> late;
    };

    void countResult(const Result& result, ArmSummary& arm)
    {
        ++arm.sent;
        switch (result.kind) {
        case ResultKind::Answered:
            ++arm.answered;
            arm.tokens += result.tokens;
            break;
        case ResultKind::Refused:
            ++arm.refused[result.reason];
            break;
        case ResultKind::Unknown:
            ++arm.unknown[result.reason];
            break;
        case ResultKind::Error:
            ++arm.errors[result.reason];
            break;
        }
    }

    void addSamples(const Result& result, Samples& samples)
    {
        samples.late.push_back(toMilliseconds(result.late));
        if (result.kind != ResultKind::Answered) {
            return;
        }
        samples.whole.push_back(toMilliseconds(result.whole));
        if (result.firstToken.count() > 0) {
            samples.firstToken.push_back(toMilliseconds(result.firstToken));
        }
        for (const auto gap : result.gaps) {
            samples.betweenTokens.push_back(toMilliseconds(gap));
        }
    }

    [[nodiscard]] ArmSummary summariseArm(const std::vector<Result>& results, bool direct)
    {
        ArmSummary arm;
        Samples samples;
        for (const Result& result : results) {
            if (result.arrival.counted && result.arrival.direct == direct) {
                countResult(result, arm);
                addSamples(result, samples);
            }
        }
        arm.firstToken = computePercentiles(std::move(samples.firstToken));
        arm.betweenTokens = computePercentiles(std::move(samples.betweenTokens));
        arm.whole = computePercentiles(std::move(samples.whole));
        arm.late = computePercentiles(std::move(samples.late));
        return arm;
    }

    [[nodiscard]] double meanGap(const Result& result)
    {
        const auto sum = std::accumulate(result.gaps.begin(), result.gaps.end(), std::chrono::microseconds {});
        return toMilliseconds(sum) / static_cast<double>(result.gaps.size());
    }

    [[nodiscard]] AddedSummary summariseDifferences(const std::vector<Result>& results)
    {
        std::map<std::uint64_t, const Result*> direct;
        for (const Result& result : results) {
            if (result.arrival.counted && result.arrival.direct && result.kind == ResultKind::Answered) {
                direct[result.arrival.pair] = &result;
            }
        }
        AddedSummary added;
        Samples samples;
        for (const Result& routed : results) {
            const auto twin = direct.find(routed.arrival.pair);
            const bool paired = routed.arrival.counted && !routed.arrival.direct && routed.kind == ResultKind::Answered
                && twin != direct.end();
            if (!paired) {
                continue;
            }
            ++added.pairs;
            const Result& other = *twin->second;
            samples.whole.push_back(toMilliseconds(routed.whole - other.whole));
            if (routed.firstToken.count() > 0 && other.firstToken.count() > 0) {
                samples.firstToken.push_back(toMilliseconds(routed.firstToken - other.firstToken));
            }
            if (!routed.gaps.empty() && !other.gaps.empty()) {
                samples.betweenTokens.push_back(meanGap(routed) - meanGap(other));
            }
        }
        added.firstToken = computePercentiles(std::move(samples.firstToken));
        added.betweenTokens = computePercentiles(std::move(samples.betweenTokens));
        added.whole = computePercentiles(std::move(samples.whole));
        return added;
    }

} // namespace

Summary summarise(const std::vector<Result>& results)
{
    Summary summary;
    summary.routed = summariseArm(results, false);
    summary.direct = summariseArm(results, true);
    summary.added = summariseDifferences(results);
    return summary;
}

std::vector<ProcessSummary> compareReadings(
    const std::vector<ProcessReading>& before, const std::vector<ProcessReading>& after)
{
    std::vector<ProcessSummary> result;
    for (std::size_t index = 0; index < before.size() && index < after.size(); ++index) {
        const ProcessReading& first = before[index];
        const ProcessReading& last = after[index];
        result.push_back({ first.process, first.found && last.found, last.processorSeconds - first.processorSeconds,
            first.residentBytes, last.residentBytes, last.peakBytes, last.threads });
    }
    return result;
}

} // namespace swiftlift::load
