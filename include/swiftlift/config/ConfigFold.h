#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "swiftlift/base/Ids.h"
#include "swiftlift/config/ConfigEffect.h"
#include "swiftlift/config/Record.h"
#include "swiftlift/settings/ServiceDocument.h"

namespace swiftlift::config {

/** A service's document as accepted, or its withdrawal. */
struct ServiceRevision {
    ServiceName service;
    Offset revision;
    std::string author;
    std::uint64_t id = 0;
    /** Empty: withdrawn. */
    std::string text;
    /** Nothing: withdrawn, or a snapshot's text that this release can't read. */
    std::optional<settings::ServiceDocument> document;
};

/** One earlier revision of a service, without its text. */
struct RevisionNote {
    Offset revision;
    std::string author;
    std::uint64_t id = 0;
    bool withdrawn = false;
};

/** Records to pass on to a peer, in order from `first`. */
struct RetainedRecords {
    Offset first;
    std::vector<std::string> records;
};

/**
 * @brief The deterministic fold over the stream `config`: the only truth about services.
 *
 * Each reader of the same unbroken prefix computes the same state. A lower offset is never applied, so nothing
 * reverts; a gap is refused, never guessed over.
 */
class ConfigFold {
public:
    /** Raw records kept for peers, at most; what is older is passed on as a snapshot. */
    static constexpr std::size_t keptBytes = std::size_t { 1024 } * 1024;
    /** Earlier revisions kept of a service. */
    static constexpr std::size_t historyLength = 32;

    /**
     * @brief Applies the record at `offset`, as the log gave it.
     * @param effects Takes what the record did.
     * @return false with `lastReason()` when the offset leaves a gap, or the rules' version is a later one; nothing is
     * applied. An offset below `nextOffset()` is ignored, and true.
     */
    [[nodiscard]] bool apply(Offset offset, std::string_view record, std::vector<ConfigEffect>& effects);

    /**
     * @brief Applies the record at `offset`, as a peer passed it on. A peer that no longer keeps what was asked for
     * sends its whole state as a snapshot, which counts as the record before its own `as_of`.
     * @return As apply().
     */
    [[nodiscard]] bool applyFromPeer(Offset offset, std::string_view record, std::vector<ConfigEffect>& effects);

    /**
     * @brief The log no longer has `nextOffset()`. Records from `oldest` on are searched for a snapshot to start from;
     * after the effect Restored, reading has to go on from `nextOffset()`.
     */
    void startFrom(Offset oldest);

    /** @return True between startFrom() and the snapshot: what is in force here is old. */
    [[nodiscard]] bool seeking() const noexcept { return seekFrom_.has_value(); }

    /** @return Offset of the first record not yet applied. */
    [[nodiscard]] Offset nextOffset() const noexcept { return next_; }

    /** @return Where reading has to go on: nextOffset(), or while seeking the next record to be searched. */
    [[nodiscard]] Offset readFrom() const noexcept;

    /** @return The revision in force; nullptr for a service that never was, is withdrawn or can't be read. */
    [[nodiscard]] const ServiceRevision* current(const ServiceName& service) const;

    /** @return The last revision, withdrawals included: what the next publish has to name. */
    [[nodiscard]] const ServiceRevision* last(const ServiceName& service) const;

    /** @return Services in force, in order of their names. */
    [[nodiscard]] std::vector<ServiceName> services() const;

    /** @return Earlier and present revisions, oldest first; at most `historyLength`. */
    [[nodiscard]] std::vector<RevisionNote> history(const ServiceName& service) const;

    /**
     * @param from What the peer wants next.
     * @param maxBytes Bound of the answer; one record is given in any case.
     * @return Records from `from` on, or this fold's state when they are no longer kept; empty when there is nothing.
     */
    [[nodiscard]] RetainedRecords recordsFrom(Offset from, std::size_t maxBytes) const;

    /** @return A snapshot of the present state, to be appended. */
    [[nodiscard]] std::string snapshot() const;

    [[nodiscard]] const std::string& lastReason() const noexcept { return lastReason_; }

private:
    struct Service {
        ServiceRevision last;
        std::deque<RevisionNote> history;
    };

    /** A record as parsed; defined beside the code, so that users of this header need no generated one. */
    struct Parsed;

    [[nodiscard]] bool refuse(std::string reason);
    [[nodiscard]] bool versionKnown(Offset offset, const Parsed& parsed);
    [[nodiscard]] bool applyNext(
        Offset offset, std::string_view record, const Parsed& parsed, std::vector<ConfigEffect>& effects);
    [[nodiscard]] bool seek(Offset offset, const Parsed& parsed, std::vector<ConfigEffect>& effects);
    void applyPublish(Offset offset, const Parsed& parsed, std::vector<ConfigEffect>& effects);
    void withdraw(Offset offset, const Parsed& parsed, std::vector<ConfigEffect>& effects);
    void restore(const Parsed& parsed, Offset next, std::vector<ConfigEffect>& effects);
    void compare(Offset offset, const Parsed& parsed, std::vector<ConfigEffect>& effects) const;
    void setLast(ServiceRevision revision);
    void keep(std::string_view record);
    [[nodiscard]] Rejected rejection(Offset offset, const Parsed& parsed, RejectReason reason) const;
    [[nodiscard]] const RevisionNote* findRepeat(const ServiceName& service, std::uint64_t id) const;

    std::map<ServiceName, Service> services_;
    std::deque<std::string> kept_;
    std::size_t keptSize_ = 0;
    Offset next_;
    std::optional<Offset> seekFrom_;
    Offset seekNext_;
    std::string lastReason_;
};

} // namespace swiftlift::config
