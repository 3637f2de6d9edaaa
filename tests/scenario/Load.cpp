#include "Load.h"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <mutex>
#include <random>
#include <thread>

#include "Errors.h"

namespace swiftlift::scenario {

namespace internal {

    /** A call that starts this much after its time is counted as late. */
    constexpr Milliseconds lateLimit { 50 };

    struct Arrival {
        Milliseconds at;
        Call call;
        std::uint64_t draw = 0;
    };

    std::string makePrompt(const LoadPlan& load, std::size_t prefix, std::size_t number)
    {
        std::string prompt = "pattern " + std::to_string(prefix) + " ";
        prompt.resize(static_cast<std::size_t>(load.prefixBytes), static_cast<char>('a' + prefix % 26));
        prompt += " order " + std::to_string(number) + " ";
        if (prompt.size() < static_cast<std::size_t>(load.promptBytes))
            prompt.resize(static_cast<std::size_t>(load.promptBytes), 'x');
        return prompt;
    }

    /** @return One of the shared prefixes, or one that no other request has. */
    std::size_t drawPrefix(const LoadPlan& load, std::size_t number, std::mt19937_64& random)
    {
        constexpr unsigned hundred = 100;
        if (static_cast<int>(random() % hundred) >= load.sharedPercent)
            return static_cast<std::size_t>(load.prefixes) + number;
        std::uniform_real_distribution<double> share(0, 1);
        return static_cast<std::size_t>(load.prefixes * std::pow(share(random), load.skew));
    }

    /** All of it is drawn before the first call, so that equal seeds give equal loads. */
    std::vector<Arrival> plan(const LoadPlan& load)
    {
        std::mt19937_64 random(load.seed);
        std::exponential_distribution<double> gap(load.rate / 1000.0);
        std::vector<Arrival> arrivals;
        for (double at = gap(random); at < static_cast<double>(load.duration.count()); at += gap(random)) {
            const std::size_t number = arrivals.size();
            Call call = load.models[random() % load.models.size()];
            std::tie(call.vm, call.router) = load.routers[random() % load.routers.size()];
            call.id = load.idPrefix + std::to_string(number);
            if (call.model)
                call.prompt = makePrompt(load, drawPrefix(load, number, random), number);
            arrivals.push_back({ Milliseconds(static_cast<std::int64_t>(at)), std::move(call), random() });
        }
        return arrivals;
    }

    class LoadRun {
    public:
        LoadRun(const LoadPlan& load, Callers& callers)
            : load_(load)
            , callers_(callers)
            , arrivals_(plan(load))
        {
        }

        LoadCounts run()
        {
            started_ = Clock::now();
            std::vector<std::thread> threads;
            for (int place = 0; place < load_.places; ++place)
                threads.emplace_back([this] { work(); });
            for (auto& thread : threads)
                thread.join();
            return counts_;
        }

    private:
        void work()
        {
            for (std::size_t index = next_++; index < arrivals_.size(); index = next_++) {
                const Moment due = started_ + arrivals_[index].at;
                std::this_thread::sleep_until(due);
                const bool late = Clock::now() - due > lateLimit;
                callOf(arrivals_[index], late);
            }
        }

        void callOf(const Arrival& arrival, bool late)
        {
            Call call = arrival.call;
            Answer answer = perform(call);
            callers_.add({ call, answer });
            for (int retry = 0; retry < load_.retries && answer.outcome != CallOutcome::Answered; ++retry) {
                const auto pause = std::clamp<std::int64_t>(answer.retryAfterMs, 50, 2000);
                std::this_thread::sleep_for(Milliseconds(pause));
                std::tie(call.vm, call.router)
                    = load_.routers[(arrival.draw + static_cast<unsigned>(retry)) % load_.routers.size()];
                ++call.attempt;
                answer = perform(call);
                callers_.add({ call, answer });
            }
            count(answer, late);
        }

        void count(const Answer& answer, bool late)
        {
            const std::scoped_lock lock(mutex_);
            ++counts_.sent;
            counts_.startedLate += late ? 1 : 0;
            counts_.answered += answer.outcome == CallOutcome::Answered ? 1 : 0;
            counts_.refused += answer.outcome == CallOutcome::Refused ? 1 : 0;
            counts_.unknown += answer.outcome == CallOutcome::Unknown ? 1 : 0;
            counts_.broken += answer.outcome == CallOutcome::Broken ? 1 : 0;
        }

        const LoadPlan& load_;
        Callers& callers_;
        const std::vector<Arrival> arrivals_;
        Moment started_;
        std::atomic<std::size_t> next_ { 0 };
        std::mutex mutex_;
        LoadCounts counts_;
    };

} // namespace internal

LoadCounts runLoad(const LoadPlan& plan, Callers& callers)
{
    if (plan.models.empty() || plan.routers.empty())
        throw BrokenScript("load: needs calls and VMs");
    return internal::LoadRun(plan, callers).run();
}

} // namespace swiftlift::scenario
