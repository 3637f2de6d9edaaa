#include "swiftlift/quarantine/PartSuspects.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace swiftlift::quarantine {

namespace {

    /** Ends from which on other routers are told that a suspect was answered. */
    constexpr std::size_t minEndsToTell = 2;

    template <typename Ends> [[nodiscard]] bool haveCommonEnd(const Ends& left, const Ends& right)
    {
        return std::ranges::any_of(left, [&](const auto& end) { return right.contains(end.first); });
    }

} // namespace

PartSuspects::PartSuspects(PartLimits limits)
    : limits_(limits)
{
}

void PartSuspects::onReport(const Report& report, bool isOld, Instant now)
{
    for (const PromptPart& part : report.parts) {
        if (report.failedInstance) {
            if (isOld && answeredBeforeStart_.contains(part)) {
                continue;
            }
            addEnd(suspectOf(part, isOld, now), report, isOld, now);
        } else if (report.heldBack) {
            // What this router has lately seen answered, it judges by its own evidence.
            if (!wasAnsweredLately(part, now) || suspects_.contains(part)) {
                Suspect& suspect = suspectOf(part, isOld, now);
                suspect.verdicts.insert(report.id);
                suspect.lastEnd = now;
            }
        } else if (isOld) {
            clearOldEnds(part);
        } else {
            suspects_.erase(part);
            rememberAnswer(part, now);
        }
    }
}

// The log has ends and answers in the order in which they were appended, which isn't the order in which they happened:
// after an outage the ends may follow the answers. So an answer clears all ends from before this process.
void PartSuspects::clearOldEnds(const PromptPart& part)
{
    if (answeredBeforeStart_.size() < limits_.maxAnswered) {
        answeredBeforeStart_.insert(part);
    }
    if (const auto found = suspects_.find(part); found != suspects_.end() && !found->second.heldBack()) {
        suspects_.erase(found);
    }
}

// When older ends happened is not known.
void PartSuspects::addEnd(Suspect& suspect, const Report& report, bool isOld, Instant now) const
{
    const bool isNew = suspect.ended.try_emplace(*report.failedInstance).second;
    suspect.ended[*report.failedInstance].insert(report.id);
    suspect.lastEnd = now;
    if (isNew && (isOld || suspect.moments == 0 || now - suspect.lastMoment >= limits_.momentTime)) {
        ++suspect.moments;
        suspect.lastMoment = now;
    }
}

bool PartSuspects::wasAnsweredLately(const PromptPart& part, Instant now) const
{
    const auto answered = answered_.find(part);
    return answered != answered_.end() && now - answered->second < limits_.answerLifetime;
}

PartSuspects::Suspect& PartSuspects::suspectOf(const PromptPart& part, bool isOld, Instant now)
{
    if (!suspects_.contains(part) && suspects_.size() >= limits_.maxSuspects) {
        evictSuspect();
    }
    const auto [entry, isNew] = suspects_.try_emplace(part);
    if (isNew) {
        Suspect& suspect = entry->second;
        suspect.firstEnd = now;
        suspect.wasAnswered = isOld || wasAnsweredLately(part, now);
        suspect.answersBefore = answers_;
    }
    return entry->second;
}

// A flood of prompts that are all new then displaces only parts that were lost once.
void PartSuspects::evictSuspect()
{
    const auto order = [](const auto& entry) {
        return std::tuple(entry.second.heldBack(), entry.second.ended.size(), entry.second.lastEnd);
    };
    suspects_.erase(std::ranges::min_element(suspects_, {}, order));
}

void PartSuspects::onWithdrawn(const ReportId& id)
{
    for (auto entry = suspects_.begin(); entry != suspects_.end();) {
        Suspect& suspect = entry->second;
        suspect.verdicts.erase(id);
        for (auto& [instance, reports] : suspect.ended) {
            reports.erase(id);
        }
        std::erase_if(suspect.ended, [](const auto& end) { return end.second.empty(); });
        entry = suspect.ended.empty() && !suspect.heldBack() ? suspects_.erase(entry) : std::next(entry);
    }
}

void PartSuspects::rememberAnswer(const PromptPart& part, Instant now)
{
    if (!answered_.contains(part) && answered_.size() >= limits_.maxAnswered) {
        std::erase_if(answered_, [&](const auto& entry) { return now - entry.second >= limits_.answerLifetime; });
        if (answered_.size() >= limits_.maxAnswered) {
            answered_.erase(std::ranges::min_element(answered_, {}, [](const auto& entry) { return entry.second; }));
        }
    }
    answered_[part] = now;
}

std::vector<ClearedPart> PartSuspects::onAnswered(const std::vector<PromptPart>& parts, Instant sentAt, Instant now)
{
    ++answers_;
    std::vector<ClearedPart> cleared;
    for (const PromptPart& part : parts) {
        const auto found = suspects_.find(part);
        // A part may turn bad while requests with it that began before are still being answered.
        if (found != suspects_.end() && sentAt < found->second.firstEnd) {
            continue;
        }
        rememberAnswer(part, now);
        if (found != suspects_.end()) {
            const Suspect& suspect = found->second;
            if (suspect.ended.size() >= minEndsToTell || suspect.heldBack()) {
                cleared.push_back({ part, { suspect.verdicts.begin(), suspect.verdicts.end() } });
            }
            suspects_.erase(found);
        }
    }
    return cleared;
}

bool PartSuspects::hasHadItsChance(const Suspect& suspect, Instant now) const
{
    const Duration since = now - suspect.firstEnd;
    if (!suspect.wasAnswered) {
        return since >= limits_.reportTime;
    }
    return since >= limits_.answerTime && answers_ - suspect.answersBefore >= limits_.minAnswersWithout;
}

std::set<BackendInstance> PartSuspects::explainedEnds() const
{
    std::set<BackendInstance> explained;
    for (const auto& [part, suspect] : suspects_) {
        if (suspect.heldBack()) {
            std::ranges::transform(
                suspect.ended, std::inserter(explained, explained.end()), [](const auto& end) { return end.first; });
        }
    }
    return explained;
}

std::size_t PartSuspects::unexplained(const Suspect& suspect, const std::set<BackendInstance>& explained)
{
    return static_cast<std::size_t>(
        std::ranges::count_if(suspect.ended, [&](const auto& end) { return !explained.contains(end.first); }));
}

bool PartSuspects::isOutweighed(const Suspect& suspect, const std::set<BackendInstance>& explained, Instant now) const
{
    const bool tiesCount = now - suspect.firstEnd < limits_.tellApartTime;
    const std::size_t own = unexplained(suspect, explained);
    return std::ranges::any_of(suspects_, [&](const auto& entry) {
        const Suspect& other = entry.second;
        if (&other == &suspect || other.heldBack() || other.wasAnswered || other.ended.size() < own
            || !haveCommonEnd(suspect.ended, other.ended)) {
            return false;
        }
        const std::size_t others = unexplained(other, explained);
        return others > own || (tiesCount && others == own);
    });
}

bool PartSuspects::isGuilty(const Suspect& suspect, Instant now) const
{
    const std::size_t least = suspect.wasAnswered ? limits_.minServersEndedIfAnswered : limits_.minServersEnded;
    if (suspect.ended.size() < least || suspect.moments < limits_.minMoments || !hasHadItsChance(suspect, now)) {
        return false;
    }
    const std::set<BackendInstance> explained = explainedEnds();
    return unexplained(suspect, explained) >= least && !isOutweighed(suspect, explained, now);
}

std::optional<HeldBackPart> PartSuspects::heldBack(const std::vector<PromptPart>& parts, Instant now) const
{
    for (const PromptPart& part : parts) {
        const auto found = suspects_.find(part);
        if (found == suspects_.end()) {
            continue;
        }
        const Suspect& suspect = found->second;
        const bool isNew = !suspect.heldBack() && isGuilty(suspect, now);
        if (isNew || suspect.heldBack()) {
            return HeldBackPart { part, suspect.ended.size(), suspect.lastEnd + limits_.lifetime, isNew };
        }
    }
    return std::nullopt;
}

std::size_t PartSuspects::serversEnded(const PromptPart& part) const
{
    const auto found = suspects_.find(part);
    return found == suspects_.end() ? 0 : found->second.ended.size();
}

void PartSuspects::expire(Instant now)
{
    std::erase_if(suspects_, [&](const auto& entry) { return now - entry.second.lastEnd >= limits_.lifetime; });
}

} // namespace swiftlift::quarantine
