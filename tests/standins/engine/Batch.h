#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "engine/EngineSettings.h"
#include "engine/PrefixCache.h"
#include "engine/Sequence.h"

namespace swiftlift::standins {

/** What a batch has computed since its start. */
struct BatchTotals {
    /** Sequences that joined. */
    std::uint64_t started = 0;
    std::uint64_t promptTokens = 0;
    /** Of these, the tokens that were cached. */
    std::uint64_t cachedPromptTokens = 0;
    std::uint64_t answerTokens = 0;
};

/** Continuous batching: sequences join and leave between steps; those that wait join by priority, then in order. */
class Batch {
public:
    using SequencePointer = std::shared_ptr<Sequence>;

    Batch(const EngineSettings& settings, CacheEvents& events);

    /** @return False when too many wait already. */
    [[nodiscard]] bool add(const SequencePointer& sequence);
    /** Removes the sequence, whether it runs or waits. */
    void remove(const SequencePointer& sequence);

    /** Lets waiting sequences join. @return How long the step takes. */
    [[nodiscard]] Milliseconds beginStep();
    /** Gives a token to each sequence whose prompt has been computed; complete ones leave. */
    void endStep();

    /** Forgets all prompts that were computed. */
    void clearCache() { cache_.shrinkTo(0); }

    [[nodiscard]] std::uint64_t running() const noexcept { return running_.size(); }
    [[nodiscard]] std::uint64_t waiting() const noexcept { return waiting_.size(); }
    [[nodiscard]] bool isIdle() const noexcept { return running_.empty() && waiting_.empty(); }
    [[nodiscard]] std::uint64_t freeTokens() const noexcept;
    [[nodiscard]] const BatchTotals& totals() const noexcept { return totals_; }
    [[nodiscard]] Milliseconds lastStep() const noexcept { return lastStep_; }

private:
    /** Lower comes first: the priority, then the order of arrival. */
    using Place = std::pair<unsigned, std::uint64_t>;

    [[nodiscard]] bool hasRoomFor(const Sequence& sequence) const;
    void admitWaiting();
    [[nodiscard]] std::uint64_t prefill();
    void makeRoom();

    const EngineSettings& settings_;
    PrefixCache cache_;
    std::map<Place, SequencePointer> waiting_;
    std::vector<SequencePointer> running_;
    std::uint64_t arrivals_ = 0;
    std::uint64_t runningTokens_ = 0;
    Milliseconds lastStep_;
    BatchTotals totals_;
};

} // namespace swiftlift::standins
