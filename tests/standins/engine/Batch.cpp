#include "engine/Batch.h"

#include <algorithm>

namespace swiftlift::standins {

namespace internal {

    std::uint64_t memoryOf(const Sequence& sequence) { return sequence.promptTokens + sequence.answerTokens; }

} // namespace internal

Batch::Batch(const EngineSettings& settings, CacheEvents& events)
    : settings_(settings)
    , cache_(events)
    , lastStep_(settings.stepMs)
{
}

bool Batch::add(const SequencePointer& sequence)
{
    if (waiting_.size() >= settings_.maxWaiting) {
        return false;
    }
    waiting_.emplace(Place(sequence->priority, arrivals_++), sequence);
    return true;
}

void Batch::remove(const SequencePointer& sequence)
{
    std::erase_if(waiting_, [&sequence](const auto& entry) { return entry.second == sequence; });
    if (const auto found = std::find(running_.begin(), running_.end(), sequence); found != running_.end()) {
        runningTokens_ -= internal::memoryOf(*sequence);
        running_.erase(found);
    }
}

bool Batch::hasRoomFor(const Sequence& sequence) const
{
    // A sequence larger than the memory would wait for ever; it runs alone instead.
    return running_.empty()
        || (running_.size() < settings_.maxBatch
            && runningTokens_ + internal::memoryOf(sequence) <= settings_.cacheTokens);
}

void Batch::makeRoom()
{
    const auto used = std::min(runningTokens_, settings_.cacheTokens);
    cache_.shrinkTo(settings_.cacheTokens - used);
}

void Batch::admitWaiting()
{
    while (!waiting_.empty() && hasRoomFor(*waiting_.begin()->second)) {
        const auto sequence = waiting_.begin()->second;
        waiting_.erase(waiting_.begin());
        sequence->cachedTokens = cache_.lookUp(sequence->prompt);
        ++totals_.started;
        totals_.promptTokens += sequence->promptTokens;
        totals_.cachedPromptTokens += sequence->cachedTokens;
        sequence->prefillLeft = sequence->promptTokens - sequence->cachedTokens + sequence->computed;
        runningTokens_ += internal::memoryOf(*sequence);
        running_.push_back(sequence);
        makeRoom();
    }
}

std::uint64_t Batch::prefill()
{
    auto left = settings_.prefillChunk;
    for (const auto& sequence : running_) {
        const auto part = std::min(left, sequence->prefillLeft);
        sequence->prefillLeft -= part;
        left -= part;
    }
    return settings_.prefillChunk - left;
}

Milliseconds Batch::beginStep()
{
    admitWaiting();
    const auto computed = static_cast<double>(prefill());
    const auto size = static_cast<double>(running_.size());
    lastStep_ = Milliseconds(settings_.stepMs + size * settings_.stepGrowthMs + computed * settings_.prefillTokenMs);
    return lastStep_;
}

void Batch::endStep()
{
    const auto step = running_;
    for (const auto& sequence : step) {
        if (sequence->prefillLeft > 0) {
            continue;
        }
        if (!sequence->isComplete()) {
            ++sequence->computed;
            ++sequence->record->tokens;
            ++totals_.answerTokens;
        }
        cache_.store(sequence->prompt);
        if (sequence->isComplete()) {
            remove(sequence);
        }
        sequence->changed.notify();
    }
    makeRoom();
}

std::uint64_t Batch::freeTokens() const noexcept
{
    const auto used = runningTokens_ + cache_.tokens();
    return settings_.cacheTokens - std::min(used, settings_.cacheTokens);
}

} // namespace swiftlift::standins
