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

/** @brief An accepted document of a service, or the service's withdrawal. */
struct ServiceRevision {
    ServiceName service;
    Offset revision;
    std::string author;
    std::uint64_t id = 0;
    /** The YAML document; empty when the service is withdrawn. */
    std::string text;
    /** The parsed document; empty when withdrawn, or when this release can't read the text from a snapshot. */
    std::optional<settings::ServiceDocument> document;
};

/** @brief An entry in a service's history: a revision without its text. */
struct RevisionNote {
    Offset revision;
    std::string author;
    std::uint64_t id = 0;
    bool withdrawn = false;
};

/** @brief Consecutive records for a peer; `first` is the offset of the first one. */
struct RetainedRecords {
    Offset first;
    std::vector<std::string> records;
};

/**
 * @brief The deterministic fold over the stream `config`: the authoritative state of all services.
 *
 * Every reader of the same gapless prefix computes the same state. Records below the next offset are ignored, so no
 * revision reverts to an earlier one. A record beyond the next offset is refused, because the records of the gap may
 * change the state.
 */
class ConfigFold {
public:
    /** Maximum size in bytes of the raw records kept for peers; a peer that needs older ones gets a snapshot. */
    static constexpr std::size_t maxRetainedBytes = std::size_t { 1024 } * 1024;
    /** Maximum number of revisions kept in a service's history, the last one included. */
    static constexpr std::size_t maxHistoryLength = 32;

    /**
     * @brief Applies a record that was read from the log.
     * @param offset The record's offset.
     * @param record The raw record.
     * @param effects Receives the record's effects.
     * @return False with `lastReason()` set when the offset leaves a gap or the record's rules are of a later version;
     * nothing is applied then. True otherwise, also for an offset below `nextOffset()`, which is ignored.
     */
    [[nodiscard]] bool apply(Offset offset, std::string_view record, std::vector<ConfigEffect>& effects);

    /**
     * @brief Applies a record received from a peer. A peer that no longer keeps the requested records sends its whole
     * state as a snapshot instead, at the offset before the snapshot's `as_of`.
     * @param offset The record's offset.
     * @param record The raw record.
     * @param effects Receives the record's effects.
     * @return Same as apply().
     */
    [[nodiscard]] bool applyFromPeer(Offset offset, std::string_view record, std::vector<ConfigEffect>& effects);

    /**
     * @brief Starts the search for a snapshot when the record at `nextOffset()` has expired from the log. After the
     * effect Restored, reading continues at `nextOffset()`.
     * @param oldest Offset of the log's oldest record, where the search begins.
     */
    void startFrom(Offset oldest);

    /** @return True from startFrom() until a snapshot is restored; the state is outdated in that time. */
    [[nodiscard]] bool seeking() const noexcept { return searchStart_.has_value(); }

    /** @return Offset of the next record to apply. */
    [[nodiscard]] Offset nextOffset() const noexcept { return next_; }

    /** @return Offset to read next: nextOffset(), or during the search the next record to examine. */
    [[nodiscard]] Offset readFrom() const noexcept;

    /** @return The revision in force; nullptr when there is none: unknown, withdrawn or without readable document. */
    [[nodiscard]] const ServiceRevision* current(const ServiceName& service) const;

    /** @return The last revision, which the next publish must name, withdrawals included; nullptr if none. */
    [[nodiscard]] const ServiceRevision* last(const ServiceName& service) const;

    /** @return Services in force, ordered by name. */
    [[nodiscard]] std::vector<ServiceName> services() const;

    /** @return The service's most recent revisions, oldest first; at most `maxHistoryLength`. */
    [[nodiscard]] std::vector<RevisionNote> history(const ServiceName& service) const;

    /**
     * @param from Offset of the next record that the peer needs.
     * @param maxBytes Maximum size of the records in bytes; the first record is returned whatever its size.
     * @return Records from `from` on, or a snapshot of this fold's state when those are no longer kept; empty when
     * this fold has no such records yet.
     */
    [[nodiscard]] RetainedRecords recordsFrom(Offset from, std::size_t maxBytes) const;

    /** @return A snapshot record of the present state, to append to the log. */
    [[nodiscard]] std::string snapshot() const;

    /** @return Why the last refused record was refused; empty when none was. */
    [[nodiscard]] const std::string& lastReason() const noexcept { return lastReason_; }

private:
    struct Service {
        ServiceRevision last;
        std::deque<RevisionNote> history;
    };

    /** @brief A parsed record; defined in a private header, so that this header doesn't include generated ones. */
    struct Parsed;

    [[nodiscard]] bool refuseRecord(std::string reason);
    [[nodiscard]] bool isVersionSupported(Offset offset, const Parsed& parsed);
    [[nodiscard]] bool applyNext(
        Offset offset, std::string_view record, const Parsed& parsed, std::vector<ConfigEffect>& effects);
    [[nodiscard]] bool searchSnapshot(Offset offset, const Parsed& parsed, std::vector<ConfigEffect>& effects);
    void applyPublish(Offset offset, const Parsed& parsed, std::vector<ConfigEffect>& effects);
    void applyWithdrawal(Offset offset, const Parsed& parsed, std::vector<ConfigEffect>& effects);
    void restoreSnapshot(const Parsed& parsed, Offset next, std::vector<ConfigEffect>& effects);
    void compareWithSnapshot(Offset offset, const Parsed& parsed, std::vector<ConfigEffect>& effects) const;
    void setLastRevision(ServiceRevision revision);
    void retainRecord(std::string_view record);
    [[nodiscard]] Rejected makeRejection(Offset offset, const Parsed& parsed, RejectReason reason) const;
    [[nodiscard]] const RevisionNote* findDuplicate(const ServiceName& service, std::uint64_t id) const;

    std::map<ServiceName, Service> services_;
    std::deque<std::string> retainedRecords_;
    std::size_t retainedBytes_ = 0;
    Offset next_;
    std::optional<Offset> searchStart_;
    Offset searchNext_;
    std::string lastReason_;
};

} // namespace swiftlift::config
