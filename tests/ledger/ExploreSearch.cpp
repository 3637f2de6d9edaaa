#include "ledger/ExploreSearch.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace swiftlift::ledger::explore {

namespace {

    struct Visit {
        std::size_t parent = 0;
        Step step;
    };

    struct FrontierState {
        World world;
        std::size_t visit = 0;
    };

    std::vector<std::string> scheduleOf(
        const std::vector<Visit>& visits, std::size_t last, const Setup& setup, const FaultInjection& faults)
    {
        std::vector<Step> steps;
        for (std::size_t at = last; at != 0; at = visits.at(at).parent)
            steps.push_back(visits.at(at).step);
        std::ranges::reverse(steps);
        std::vector<std::string> schedule;
        World world(setup, faults);
        for (const Step& step : steps) {
            schedule.push_back(world.describe(step));
            world.execute(step);
        }
        return schedule;
    }

} // namespace

SearchResult search(const Setup& setup, const FaultInjection& faults, std::size_t maxDepth, std::size_t maxStates,
    CheckedProperty property)
{
    SearchResult result;
    std::unordered_set<std::uint64_t> seen;
    std::vector<Visit> visits(1);
    std::vector<FrontierState> frontier;
    frontier.push_back(FrontierState { World(setup, faults), 0 });
    seen.insert(frontier.front().world.hash());
    while (!frontier.empty() && result.depth < maxDepth) {
        ++result.depth;
        std::vector<FrontierState> next;
        for (const FrontierState& state : frontier) {
            for (const Step& step : state.world.enabled()) {
                World world = state.world;
                world.execute(step);
                if (!seen.insert(world.hash()).second)
                    continue;
                visits.push_back(Visit { state.visit, step });
                result.states = seen.size();
                result.violation = property == CheckedProperty::OverspendOnly ? world.overspent() : world.violation();
                if (!result.violation.empty()) {
                    result.schedule = scheduleOf(visits, visits.size() - 1, setup, faults);
                    return result;
                }
                if (seen.size() >= maxStates)
                    return result;
                next.push_back(FrontierState { std::move(world), visits.size() - 1 });
            }
        }
        frontier = std::move(next);
    }
    result.complete = true;
    return result;
}

std::string textOf(const SearchResult& result)
{
    std::string text = std::to_string(result.states) + " states, depth " + std::to_string(result.depth)
        + (result.complete ? ", all visited" : ", not all visited");
    if (!result.violation.empty())
        text += "\n" + result.violation;
    for (const std::string& step : result.schedule)
        text += "\n  " + step;
    return text;
}

} // namespace swiftlift::ledger::explore
