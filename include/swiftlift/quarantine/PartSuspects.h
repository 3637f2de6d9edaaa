#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "swiftlift/base/Units.h"
#include "swiftlift/quarantine/Report.h"

namespace swiftlift::quarantine {

/** @brief Bounds of what one router remembers about parts of prompts. */
struct PartLimits {
    /** A part may be held back once so many backend server instances have ended under requests with it. */
    std::size_t minServersEnded = 4;
    /** The same for a part that was answered before the first of these ends. */
    std::size_t minServersEndedIfAnswered = 5;
    /** Moments in which servers must have ended: those that end at once have one cause, such as the loss of a domain.
     */
    std::size_t minMoments = 3;
    /** Ends within this time are of one moment; reports of one end arrive within it. */
    Duration momentTime = std::chrono::milliseconds(120);
    /** Time from the first end on in which other routers' reports arrive. */
    Duration reportTime = std::chrono::milliseconds(300);
    /** Time from the first end on in which parts that were always lost together may still be told apart. */
    Duration tellApartTime = std::chrono::milliseconds(1500);
    /** Time from the first end on in which a sound part that was answered before is answered again. */
    Duration answerTime = std::chrono::seconds(2);
    /** Answers to any requests that must have come since, none of them with the part: servers must be able to answer.
     */
    std::size_t minAnswersWithout = 20;
    /** How long an answer shows that a part was sound. */
    Duration answerLifetime = std::chrono::seconds(30);
    /** How long an end counts. */
    Duration lifetime = std::chrono::hours(1);
    std::size_t maxSuspects = 4096;
    std::size_t maxAnswered = 8192;
};

/** @brief Why requests with a part in their prompts are sent to no backend server, and until when. */
struct HeldBackPart {
    PromptPart part;
    std::size_t serversEnded = 0;
    Instant until {};
    /** This router has just found it: a report that holds it back is to follow, to this object, too. */
    bool isNew = false;
};

/** A part that is no suspect any more, as a request with it was answered. */
struct ClearedPart {
    PromptPart part;
    /** The reports that held it back. */
    std::vector<ReportId> verdicts;
};

/**
 * @brief Finds the parts of prompts that crash the backend servers that answer them, whatever else the requests hold.
 *
 * When a server ends, dozens of requests are lost with it, and the parts that many requests share, such as the first
 * ones, are lost with nearly every server. What sets the guilty part apart is that no request with it is ever answered.
 * So a part is a suspect from its first loss until a request with it that was sent later is answered, at any router. A
 * suspect is held back once enough servers have ended that no other part explains: no part that is held back already,
 * and no suspect that was lost with more servers and with one of the same.
 */
class PartSuspects {
public:
    explicit PartSuspects(PartLimits limits = {});

    /**
     * @brief Records what a report says of parts: that a server instance ended under requests with them, that these
     * were answered, or that they are held back.
     * @param isOld The report may be from before this process, which can't tell whether its parts were answered
     * before. Old ends of a part that an old report says was answered don't count.
     */
    void onReport(const Report& report, bool isOld, Instant now);
    /** @brief Removes a report that was wrong. */
    void onWithdrawn(const ReportId& id);
    /**
     * @brief Records that a request with these parts was answered by this router.
     * @param sentAt When it was sent to its server.
     * @return Parts that were held back, or suspects of two ends or more, and are none any more: other routers should
     * know.
     */
    [[nodiscard]] std::vector<ClearedPart> onAnswered(
        const std::vector<PromptPart>& parts, Instant sentAt, Instant now);

    /** @return The part for which a request with these parts must not be sent; nullopt: it may be sent. */
    [[nodiscard]] std::optional<HeldBackPart> heldBack(const std::vector<PromptPart>& parts, Instant now) const;
    /** @return Number of server instances that ended under requests with the part, since it was last answered. */
    [[nodiscard]] std::size_t serversEnded(const PromptPart& part) const;
    [[nodiscard]] std::size_t suspects() const noexcept { return suspects_.size(); }
    [[nodiscard]] std::size_t answered() const noexcept { return answered_.size(); }
    /** @brief Forgets ends that are too long ago. */
    void expire(Instant now);

private:
    struct Suspect {
        /** The instances that ended, with the reports that name them. */
        std::map<BackendInstance, std::set<ReportId>> ended;
        Instant firstEnd {};
        Instant lastEnd {};
        /** Moments in which servers ended, apart by `momentTime`, and the last of them. */
        std::size_t moments = 0;
        Instant lastMoment {};
        /** Reports of other routers, or of this one, that hold it back. */
        std::set<ReportId> verdicts;
        /** It was answered within `answerLifetime` before the first end. */
        bool wasAnswered = false;
        /** Answers of any requests that this router had counted at the first end. */
        std::uint64_t answersBefore = 0;

        [[nodiscard]] bool heldBack() const noexcept { return !verdicts.empty(); }
    };

    /** @brief Processes a report from before this process by which a part was answered after servers had ended. */
    void clearOldEnds(const PromptPart& part);
    Suspect& suspectOf(const PromptPart& part, bool isOld, Instant now);
    void addEnd(Suspect& suspect, const Report& report, bool isOld, Instant now) const;
    [[nodiscard]] bool wasAnsweredLately(const PromptPart& part, Instant now) const;
    void evictSuspect();
    void rememberAnswer(const PromptPart& part, Instant now);
    /** @return The ends that parts which are held back explain. */
    [[nodiscard]] std::set<BackendInstance> explainedEnds() const;
    [[nodiscard]] static std::size_t unexplained(const Suspect& suspect, const std::set<BackendInstance>& explained);
    /** @return True if another suspect that is not held back explains at least as much, with some of the same ends. */
    [[nodiscard]] bool isOutweighed(
        const Suspect& suspect, const std::set<BackendInstance>& explained, Instant now) const;
    /** @return True if the suspect explains ends that nothing else does. */
    [[nodiscard]] bool isGuilty(const Suspect& suspect, Instant now) const;
    [[nodiscard]] bool hasHadItsChance(const Suspect& suspect, Instant now) const;

    PartLimits limits_;
    std::map<PromptPart, Suspect> suspects_;
    /** Parts that other routers saw answered before this process started: ends from before then don't count. */
    std::set<PromptPart> answeredBeforeStart_;
    /** When each part was last answered. */
    std::map<PromptPart, Instant> answered_;
    std::uint64_t answers_ = 0;
};

} // namespace swiftlift::quarantine
