#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "swiftlift/routing/BackendTable.h"
#include "swiftlift/routing/Selector.h"

namespace swiftlift::routing::test {

using namespace std::chrono_literals;

inline const ServiceName drafts { "drafts" };
inline const FailureDomain ownDomain { "regina-a" };
inline const FailureDomain otherDomain { "regina-b" };

[[nodiscard]] inline BackendId engine(int number)
{
    return BackendId { "127.0.2." + std::to_string(number) + ":9000" };
}

[[nodiscard]] inline LoadReport report(std::uint32_t running, std::uint32_t waiting = 0, std::uint64_t generation = 1)
{
    return { running, waiting, 3ms, { "stitch-7b" }, false, generation };
}

/** @brief A table with backend servers of two failure domains; load reports show all of them idle. */
class TableTest : public testing::Test {
protected:
    /**
     * @brief Replaces the backend servers of the service.
     * @param own Number of backend servers in the router's own failure domain; they have the numbers from 1.
     * @param others Number of backend servers in another failure domain, with the numbers after those.
     */
    void setEngines(int own, int others = 0)
    {
        std::vector<BackendEntry> entries;
        for (int number = 1; number <= own + others; ++number) {
            entries.push_back({ engine(number), number <= own ? ownDomain : otherDomain });
        }
        table_.setBackends(drafts, entries, now_);
        for (const BackendEntry& entry : entries) {
            table_.onLoad(entry.backend, report(0), now_);
        }
    }

    /** @return The attempt that was dispatched to the backend server with this number. */
    AttemptId dispatch(int number, std::uint64_t prefix = 0, Tokens prompt = Tokens { 100 })
    {
        const AttemptId attempt { ++lastAttempt_ };
        table_.onDispatched(engine(number), attempt, { prefix, prompt, {} }, now_);
        return attempt;
    }

    void finish(int number, AttemptId attempt, EndKind kind)
    {
        table_.onFinished(engine(number), attempt, { kind, {}, {} }, now_);
    }

    /** @brief Dispatches and breaks attempts; three in a row open the breaker. */
    void breakAttempts(int number, int times = 3)
    {
        for (int i = 0; i < times; ++i) {
            finish(number, dispatch(number), EndKind::Broken);
        }
    }

    [[nodiscard]] BackendView view(int number, std::uint64_t prefix = 0) const
    {
        return table_.view(engine(number), { "stitch-7b", prefix, Tokens { 100 } }, now_).value();
    }

    [[nodiscard]] static SelectRequest request(std::uint64_t prefix = 0)
    {
        SelectRequest request;
        request.service = drafts;
        request.model = "stitch-7b";
        request.prefixHash = prefix;
        request.promptTokens = Tokens { 100 };
        return request;
    }

    [[nodiscard]] static std::unique_ptr<Selector> selector(
        const std::string& name = "affinity", std::uint64_t seed = 1)
    {
        SelectorSettings settings;
        settings.domain = ownDomain;
        settings.seed = seed;
        return makeSelector(name, settings);
    }

    Instant now_ { 100s };
    BackendTable table_;
    std::uint64_t lastAttempt_ = 0;
};

} // namespace swiftlift::routing::test
