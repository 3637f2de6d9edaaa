#include "Measure.h"

#include <algorithm>
#include <map>

namespace swiftlift::scenario {

namespace internal {

    constexpr double median = 0.5;
    constexpr double mostOf = 0.95;
    constexpr double nearlyAll = 0.99;

    /** @return The smallest value that at least this share of all are not above; zero without values. */
    double percentile(std::vector<double>& values, double share)
    {
        if (values.empty())
            return 0;
        const auto place = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
        std::nth_element(values.begin(), values.begin() + place, values.end());
        return values[static_cast<std::size_t>(place)];
    }

    bool isIn(const Observation& observation, const Window& window)
    {
        const auto& [call, answer] = observation;
        const bool wanted = window.accounts.empty() || window.accounts.contains(call.account);
        const bool inTime = answer.sentAt >= window.from && answer.sentAt < window.to;
        return wanted && inTime && call.id.starts_with(window.idPrefix);
    }

    /** Collects what the callers saw. */
    struct Sums {
        std::int64_t requests = 0;
        std::map<std::string, std::int64_t> outcomes;
        std::map<std::string, std::int64_t> reasons;
        std::vector<double> firstMs;
        std::vector<double> gapsMs;

        void add(const Answer& answer)
        {
            ++requests;
            ++outcomes[toText(answer.outcome)];
            if (!answer.reason.empty())
                ++reasons[answer.reason];
            if (answer.firstTokenAt)
                firstMs.push_back(millisecondsBetween(answer.sentAt, *answer.firstTokenAt));
            gapsMs.insert(gapsMs.end(), answer.gapsMs.begin(), answer.gapsMs.end());
        }
    };

} // namespace internal

Json measure(const std::vector<Observation>& observations, const Window& window)
{
    internal::Sums sums;
    for (const auto& observation : observations) {
        if (internal::isIn(observation, window))
            sums.add(observation.answer);
    }
    Json result = { { "requests", sums.requests }, { "reasons", sums.reasons },
        { "first_p50", internal::percentile(sums.firstMs, internal::median) },
        { "first_p95", internal::percentile(sums.firstMs, internal::mostOf) },
        { "first_p99", internal::percentile(sums.firstMs, internal::nearlyAll) },
        { "between_p50", internal::percentile(sums.gapsMs, internal::median) },
        { "between_p95", internal::percentile(sums.gapsMs, internal::mostOf) } };
    for (const char* outcome : { "answered", "refused", "unknown", "broken" })
        result[outcome] = sums.outcomes[outcome];
    return result;
}

} // namespace swiftlift::scenario
