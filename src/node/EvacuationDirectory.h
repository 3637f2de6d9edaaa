#pragma once

#include <set>
#include <vector>

#include "node/Context.h"
#include "node/Peers.h"
#include "node/UnreadableRecords.h"
#include "swiftlift/fleet/Evacuations.h"
#include "swiftlift/node/KeyedRecords.h"

namespace swiftlift::node {

/**
 * @brief The evacuated failure domains, as read from the operators' stream or, while the log is unreachable, from
 * peers.
 *
 * A record that can't be decoded changes nothing: the previous state of its domain stays in force.
 */
class EvacuationDirectory {
public:
    EvacuationDirectory(Context& context, Peers& peers, UnreadableRecords& unreadable);

    /** Applies the evacuations among records of the operators' stream. @return The changes. */
    [[nodiscard]] std::vector<fleet::EvacuationChange> onRecords(const KeyedRecords& records);
    /** Applies a state that a peer has read. @return The changes. */
    [[nodiscard]] std::vector<fleet::EvacuationChange> onPeerRecords(const Records& records);
    /** Sends the state to a peer that can't reach the log, unless the peer has read as far. */
    void onReadAsk(Incarnation from, Offset offset);
    /** Requests a later state from the peer. */
    void askPeer(Incarnation peer);

    /** @return True once any state has been read: before that, a domain may be evacuated without this router's
     * knowledge. */
    [[nodiscard]] bool known() const noexcept { return known_; }
    [[nodiscard]] const fleet::Evacuations& evacuations() const noexcept { return evacuations_; }

    /** @return Name under which routers exchange the state. It is not a stream of the log. */
    [[nodiscard]] static const StreamName& peerStream();

private:
    [[nodiscard]] std::vector<fleet::EvacuationChange> applyAll(const KeyedRecords& records);
    [[nodiscard]] std::vector<fleet::EvacuationChange> applyChanges(const KeyedRecords& records);
    /** @return False if the record of an evacuation has an invalid text, which is logged. */
    [[nodiscard]] bool isReadable(const KeyedRecord& record);
    void logChanges(const std::vector<fleet::EvacuationChange>& changes, const char* source);

    Context& context_;
    Peers& peers_;
    UnreadableRecords& unreadable_;
    fleet::Evacuations evacuations_;
    bool known_ = false;
};

} // namespace swiftlift::node
