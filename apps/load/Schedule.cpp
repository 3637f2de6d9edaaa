#include "load/Schedule.h"

#include <algorithm>
#include <random>

namespace swiftlift::load {

namespace {

    constexpr std::size_t bytesPerToken = 4;
    /** Engines recognise a prefix by its first bytes; a common one is longer than that. */
    constexpr std::size_t prefixBytes = 320;
    constexpr std::size_t poisonBytes = 400;
    constexpr double microsecondsPerSecond = 1e6;

    [[nodiscard]] std::chrono::microseconds fromSeconds(double seconds)
    {
        return std::chrono::microseconds(static_cast<std::int64_t>(seconds * microsecondsPerSecond));
    }

    [[nodiscard]] std::string repeatTo(const std::string& text, std::size_t size)
    {
        std::string result;
        result.reserve(size + text.size());
        while (result.size() < size) {
            result += text;
        }
        result.resize(size);
        return result;
    }

    /** @brief Draws arrivals one after the other. */
    class Drawing {
    public:
        explicit Drawing(const Options& options)
            : options_(options)
            , random_(options.seed)
        {
        }

        [[nodiscard]] Arrival next(double at)
        {
            Arrival arrival;
            arrival.due = fromSeconds(at);
            arrival.pair = ++pair_;
            arrival.promptTokens = std::uniform_int_distribution<std::uint32_t>(
                options_.promptTokensLeast, options_.promptTokensMost)(random_);
            if (chance(options_.sharedPrefixShare)) {
                arrival.prefix = 1 + below(options_.prefixes);
            }
            arrival.idempotent = !chance(options_.nonIdempotentShare);
            if (!options_.accounts.empty()) {
                arrival.account = below(options_.accounts.size());
            }
            arrival.poison = options_.poisonEvery > 0 && pair_ % options_.poisonEvery == 0;
            arrival.counted = arrival.due >= options_.warmUp;
            return arrival;
        }

        [[nodiscard]] double gap() { return std::exponential_distribution<double>(options_.rate)(random_); }
        [[nodiscard]] bool coin() { return chance(0.5); }
        [[nodiscard]] std::uint32_t below(std::size_t count)
        {
            return std::uniform_int_distribution<std::uint32_t>(0, static_cast<std::uint32_t>(count - 1))(random_);
        }

    private:
        [[nodiscard]] bool chance(double share) { return std::bernoulli_distribution(share)(random_); }

        const Options& options_;
        std::mt19937_64 random_;
        std::uint64_t pair_ = 0;
    };

} // namespace

std::vector<Arrival> makeSchedule(const Options& options)
{
    const auto total = static_cast<double>((options.warmUp + options.duration).count());
    const auto twinGap = fromSeconds(0.5 / options.rate);
    std::vector<Arrival> schedule;
    Drawing drawing(options);
    std::size_t router = 0;
    for (double at = drawing.gap(); at < total; at += drawing.gap()) {
        const Arrival common = drawing.next(at);
        const bool directFirst = drawing.coin();
        if (!options.routers.empty()) {
            Arrival routed = common;
            routed.target = router++ % options.routers.size();
            routed.due += directFirst && !options.engines.empty() ? twinGap : std::chrono::microseconds {};
            schedule.push_back(routed);
        }
        if (!options.engines.empty()) {
            Arrival direct = common;
            direct.direct = true;
            direct.target = drawing.below(options.engines.size());
            direct.due += directFirst || options.routers.empty() ? std::chrono::microseconds {} : twinGap;
            schedule.push_back(direct);
        }
    }
    std::stable_sort(schedule.begin(), schedule.end(),
        [](const Arrival& left, const Arrival& right) { return left.due < right.due; });
    return schedule;
}

std::string promptOf(const Arrival& arrival, std::uint64_t seed)
{
    if (arrival.poison) {
        return repeatTo("poison in the thread; ", poisonBytes);
    }
    const std::string arm = arrival.direct ? "direct" : "routed";
    const std::size_t size = arrival.promptTokens * bytesPerToken;
    const std::string own
        = arm + ' ' + std::to_string(seed) + ' ' + std::to_string(arrival.pair) + " order of jerseys; ";
    if (arrival.prefix == 0) {
        return repeatTo(own, size);
    }
    const std::string common = arm + " rules of the shop, part " + std::to_string(arrival.prefix) + "; ";
    std::string prompt = repeatTo(common, std::min(size, prefixBytes));
    return prompt + repeatTo(own, size - prompt.size());
}

} // namespace swiftlift::load
