#include "load/Schedule.h"

#include <algorithm>
#include <random>

namespace swiftlift::load {

namespace {

    constexpr std::size_t bytesPerToken = 4;
    /** Engines compare only the first bytes of a prefix; a common prefix is longer than those. */
    constexpr std::size_t prefixBytes = 320;
    constexpr std::size_t poisonBytes = 400;
    constexpr double microsecondsPerSecond = 1e6;

    [[nodiscard]] std::chrono::microseconds fromSeconds(double seconds)
    {
        return std::chrono::microseconds(static_cast<std::int64_t>(seconds * microsecondsPerSecond));
    }

    [[nodiscard]] std::string repeatToSize(const std::string& text, std::size_t size)
    {
        std::string result;
        result.reserve(size + text.size());
        while (result.size() < size) {
            result += text;
        }
        result.resize(size);
        return result;
    }

    /** @brief Generates successive random arrivals. */
    class ArrivalGenerator {
    public:
        explicit ArrivalGenerator(const Options& options)
            : options_(options)
            , random_(options.seed)
        {
        }

        [[nodiscard]] Arrival nextArrival(double atSeconds)
        {
            Arrival arrival;
            arrival.due = fromSeconds(atSeconds);
            arrival.pair = ++pair_;
            arrival.promptTokens = std::uniform_int_distribution<std::uint32_t>(
                options_.minPromptTokens, options_.maxPromptTokens)(random_);
            if (randomBool(options_.sharedPrefixShare)) {
                arrival.prefix = 1 + randomIndex(options_.prefixes);
            }
            arrival.idempotent = !randomBool(options_.nonIdempotentShare);
            if (!options_.accounts.empty()) {
                arrival.account = randomIndex(options_.accounts.size());
            }
            arrival.poison = options_.poisonInterval > 0 && pair_ % options_.poisonInterval == 0;
            arrival.counted = arrival.due >= options_.warmUp;
            return arrival;
        }

        [[nodiscard]] double nextGap() { return std::exponential_distribution<double>(options_.rate)(random_); }
        [[nodiscard]] bool flipCoin() { return randomBool(0.5); }
        [[nodiscard]] std::uint32_t randomIndex(std::size_t count)
        {
            return std::uniform_int_distribution<std::uint32_t>(0, static_cast<std::uint32_t>(count - 1))(random_);
        }

    private:
        [[nodiscard]] bool randomBool(double share) { return std::bernoulli_distribution(share)(random_); }

        const Options& options_;
        std::mt19937_64 random_;
        std::uint64_t pair_ = 0;
    };

} // namespace

std::vector<Arrival> makeSchedule(const Options& options)
{
    const auto totalSeconds = static_cast<double>((options.warmUp + options.duration).count());
    const auto twinDelay = fromSeconds(0.5 / options.rate);
    std::vector<Arrival> schedule;
    ArrivalGenerator generator(options);
    std::size_t router = 0;
    for (double atSeconds = generator.nextGap(); atSeconds < totalSeconds; atSeconds += generator.nextGap()) {
        const Arrival common = generator.nextArrival(atSeconds);
        const bool directFirst = generator.flipCoin();
        if (!options.routers.empty()) {
            Arrival routed = common;
            routed.target = router++ % options.routers.size();
            routed.due += directFirst && !options.engines.empty() ? twinDelay : std::chrono::microseconds {};
            schedule.push_back(routed);
        }
        if (!options.engines.empty()) {
            Arrival direct = common;
            direct.direct = true;
            direct.target = generator.randomIndex(options.engines.size());
            direct.due += directFirst || options.routers.empty() ? std::chrono::microseconds {} : twinDelay;
            schedule.push_back(direct);
        }
    }
    std::stable_sort(schedule.begin(), schedule.end(),
        [](const Arrival& left, const Arrival& right) { return left.due < right.due; });
    return schedule;
}

std::string makePrompt(const Arrival& arrival, std::uint64_t seed)
{
    if (arrival.poison) {
        return repeatToSize("poison in the thread; ", poisonBytes);
    }
    const std::string arm = arrival.direct ? "direct" : "routed";
    const std::size_t size = arrival.promptTokens * bytesPerToken;
    const std::string uniqueText
        = arm + ' ' + std::to_string(seed) + ' ' + std::to_string(arrival.pair) + " order of jerseys; ";
    if (arrival.prefix == 0) {
        return repeatToSize(uniqueText, size);
    }
    const std::string common = arm + " rules of the shop, part " + std::to_string(arrival.prefix) + "; ";
    std::string prompt = repeatToSize(common, std::min(size, prefixBytes));
    return prompt + repeatToSize(uniqueText, size - prompt.size());
}

} // namespace swiftlift::load
