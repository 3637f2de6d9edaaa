#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"
#include "swiftlift/ledger/Holder.h"
#include "swiftlift/routing/Announcement.h"
#include "swiftlift/routing/ServerLoad.h"

namespace swiftlift::node {

// Messages between routers, as in proto/peer.proto. Each message may be lost, duplicated or delayed.

/** How far the sender has read a stream. */
struct StreamPosition {
    StreamName stream;
    /** Offset of the first record that has not been read. */
    Offset next;
};
/** The configuration in force at the sender of a heartbeat. */
struct ConfigState {
    std::uint64_t version = 0;
    /** Time since the log was known to hold no newer configuration; nullopt: not known. */
    std::optional<Duration> age;

    [[nodiscard]] bool operator==(const ConfigState&) const = default;
};
/** Sent to peers at regular intervals: the sender's location and state. */
struct Heartbeat {
    FailureDomain domain;
    Region region;
    /** The sender takes no new requests: it stops or is retired. */
    bool stopping = false;
    /** The sender itself reaches the platform's log. */
    bool logReachable = false;
    std::vector<StreamPosition> positions;
    /** What the sender knows of backend servers' announcements. */
    std::vector<routing::SharedAnnouncement> announcements {};
    /** Address at which the sender relays connections to backend servers; empty: it relays none. */
    RelayAddress relay {};
    /** Failure domains whose backend servers the sender can't reach itself. */
    std::vector<FailureDomain> unreachableDomains {};
    /** The sender asks the load balancer for no new callers, because of its CPU use or its lag. */
    bool overloaded = false;
    ConfigState config {};
    /** Bandwidth of the sender's link, in Mbit/s; 0: not known. */
    double bandwidth = 0;
};
/** Holder to witness: requests permission to spend these grants up to these ceilings. */
struct RaiseCeilings {
    std::vector<ledger::Ceiling> ceilings;
};
/** Witness to holder: these ceilings are in force. */
struct CeilingsAcked {
    std::vector<ledger::Ceiling> ceilings;
};
/**
 * @brief Witness to holder: the ceilings of these grants will not be raised.
 *
 * The receiver of the request suspects the holder, or is not the grant's witness, or the grant is not open.
 */
struct CeilingsRefused {
    std::vector<GrantId> grants;
};
/** Borrower to lender: requests a loan of `amount` tokens of the budget. */
struct LoanAsk {
    std::uint64_t loan = 0;
    BudgetRef budget;
    Tokens amount;
};
/** Lender to borrower: the loan is granted. */
struct LoanGiven {
    std::uint64_t loan = 0;
    BudgetRef budget;
    /** The lender's grant, which the borrower's bills name. */
    GrantId grant;
    Tokens amount;
    /** The lender's grant is holder-only, see ledger::Ceiling::holderOnly. */
    bool holderOnly = false;
};
/** Lender to borrower: the loan is refused. */
struct LoanDenied {
    std::uint64_t loan = 0;
    BudgetRef budget;
    /** Tokens of the budget that the lender has free. */
    Tokens free;
};
/** Borrower to lender: the loan is over, and `billed` tokens of it were billed. */
struct LoanDone {
    std::uint64_t loan = 0;
    Tokens billed;
};
/** Lender to borrower: LoanDone was processed. */
struct LoanDoneAcked {
    std::uint64_t loan = 0;
};
/** Requests the receiver's records of the stream from `from` on, because the sender can't reach the log. */
struct ReadAsk {
    StreamName stream;
    Offset from;
};
/** Consecutive records of a stream; empty when the sender has none from `first` on. */
struct Records {
    StreamName stream;
    /** Offset of the first record; 0 in crash reports, which are sent unrequested and without offsets. */
    Offset first;
    std::vector<std::string> records;
};
/**
 * @brief The sender's fold of a stream after every record below `asOf`.
 *
 * Answers a ReadAsk for records that the sender no longer caches.
 */
struct StreamState {
    StreamName stream;
    Offset asOf;
    /** Encoded as in ledger::Checkpoint. */
    std::string state;
};
/** Requests that the receiver append the record, because the sender can't reach the log. */
struct RelayAppend {
    StreamName stream;
    std::string record;
};

/**
 * @brief Author to replica: ledger items that the author has not read back from the log yet.
 *
 * If the author dies, the replica appends them in the author's name.
 */
struct CopyItems {
    StreamName stream;
    /** An encoded ledger::Batch. */
    std::string batch;
    /** The receiver is a remote replica: outside the author's failure domain, and witness of none of its grants. */
    bool distant = false;
};
/** Replica to author: the replica has all items up to and including `sequence`. */
struct ItemsCopied {
    StreamName stream;
    std::uint64_t sequence = 0;
};

/** The software version at which a stream began. */
struct StreamVersion {
    StreamId stream;
    SoftwareVersion version;
};
/** First router to keepers: these streams began. */
struct StreamsBegan {
    std::vector<StreamVersion> streams;
};
/** Requests the version at which the stream began, because a caller takes the stream up again at the sender. */
struct StreamVersionAsk {
    /** Number of the sender's search. */
    std::uint64_t search = 0;
    ServiceName service;
    /** Empty: the caller doesn't say which attempt began the stream. */
    StreamId stream;
    /** How long ago the stream may have begun. */
    Duration maxAge {};
    /** The sender can't ask the log: the receiver may answer with the only version, if it has asked the log itself. */
    bool infer = false;
};
/** Answers a StreamVersionAsk. */
struct StreamVersionAnswer {
    /** The number of the StreamVersionAsk. */
    std::uint64_t search = 0;
    /** nullopt: the sender does not know. */
    std::optional<SoftwareVersion> version;
    /** The sender remembers the stream; else the version is the only one that the service had. */
    bool remembered = false;
};

/** Router to its collector: the sender's requests at backend servers. Replaces the sender's earlier reports. */
struct LoadReport {
    /** Grows with each report of the sender. */
    std::uint64_t sequence = 0;
    std::vector<routing::ServerLoadEntry> loads;
};

/** Whose requests a digest sums up. */
enum class DigestScope : std::uint8_t {
    /** Those of the routers that report to the collector; for other collectors. */
    Domain,
    /** Those of all routers; for the routers that report to the collector. */
    Fleet,
};

/** A collector that a digest comes from. */
struct DigestOrigin {
    Incarnation collector;
    PeerAddress address;
};

/**
 * @brief From a collector: the sum of several routers' requests at backend servers.
 *
 * Replaces the collector's earlier digests of the same scope.
 */
struct LoadDigest {
    DigestScope scope = DigestScope::Domain;
    /** Grows with each digest of the collector. */
    std::uint64_t sequence = 0;
    std::vector<routing::ServerLoadEntry> loads;
    /** Failure domain of the collector. */
    FailureDomain domain;
    /** Set if the sender is not the collector, but forwards the digest. Such a digest is not forwarded again. */
    std::optional<DigestOrigin> forwardedFor = std::nullopt;
};

using PeerMessage = std::variant<Heartbeat, RaiseCeilings, CeilingsAcked, CeilingsRefused, LoanAsk, LoanGiven,
    LoanDenied, LoanDone, LoanDoneAcked, ReadAsk, Records, StreamState, RelayAppend, CopyItems, ItemsCopied,
    StreamsBegan, StreamVersionAsk, StreamVersionAnswer, LoadReport, LoadDigest>;

} // namespace swiftlift::node
