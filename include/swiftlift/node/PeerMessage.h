#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"
#include "swiftlift/ledger/Holder.h"

namespace swiftlift::node {

// Messages between routers. Each may be lost, repeated or late. See proto/peer.proto.

struct StreamPosition {
    StreamName stream;
    Offset next;
};
struct Heartbeat {
    FailureDomain domain;
    Region region;
    bool stopping = false;
    bool logReachable = false;
    std::vector<StreamPosition> positions;
};
struct RaiseCeilings {
    std::vector<ledger::Ceiling> ceilings;
};
struct CeilingsAcked {
    std::vector<ledger::Ceiling> ceilings;
};
struct CeilingsRefused {
    std::vector<GrantId> grants;
};
struct LoanAsk {
    std::uint64_t loan = 0;
    BudgetRef budget;
    Tokens amount;
};
struct LoanGiven {
    std::uint64_t loan = 0;
    BudgetRef budget;
    GrantId grant;
    Tokens amount;
    /** As ledger::Ceiling::alone, of the lender's grant. */
    bool holderOnly = false;
};
struct LoanDenied {
    std::uint64_t loan = 0;
    BudgetRef budget;
    Tokens free;
};
struct LoanDone {
    std::uint64_t loan = 0;
    Tokens billed;
};
struct LoanDoneAcked {
    std::uint64_t loan = 0;
};
/** Please send what you have of this stream from here on; I can't reach the log. */
struct ReadAsk {
    StreamName stream;
    Offset from;
};
struct Records {
    StreamName stream;
    Offset first;
    std::vector<std::string> records;
};
/** A reader's state after every record below `asOf`: the answer to a ReadAsk for records that are no longer held. */
struct StreamState {
    StreamName stream;
    Offset asOf;
    std::string state;
};
/** Please append this for me; I can't reach the log. */
struct RelayAppend {
    StreamName stream;
    std::string record;
};

/** Author to a keeper: items that have not been read back yet, to be appended in its name should it die. */
struct CopyItems {
    StreamName stream;
    /** An encoded ledger::Batch. */
    std::string batch;
    /** The keeper is beyond the author's failure domain and witnesses none of its grants. */
    bool distant = false;
};
/** Keeper to author: all items up to this sequence are kept here. */
struct ItemsCopied {
    StreamName stream;
    std::uint64_t sequence = 0;
};

using PeerMessage = std::variant<Heartbeat, RaiseCeilings, CeilingsAcked, CeilingsRefused, LoanAsk, LoanGiven,
    LoanDenied, LoanDone, LoanDoneAcked, ReadAsk, Records, StreamState, RelayAppend, CopyItems, ItemsCopied>;

} // namespace swiftlift::node
