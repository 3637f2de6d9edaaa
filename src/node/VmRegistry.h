#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "node/Context.h"
#include "node/Peers.h"
#include "swiftlift/base/Ids.h"
#include "swiftlift/node/KeyedRecords.h"
#include "swiftlift/streams/Keepers.h"

namespace swiftlift::node {

/** The VMs of the fleet, as they register themselves in a keyed stream of the log. */
class VmRegistry {
public:
    VmRegistry(Context& context, Peers& peers);

    void start();
    void onRecords(const KeyedRecords& records);
    /** Registers this VM while it is not listed, or removes its entry once it stops. */
    void tick(bool stopping);

    /** @return True if this VM is registered. */
    [[nodiscard]] bool registered() const { return vms_.contains(context_.settings().peerAddress.value()); }
    /** @return Number of registered VMs, including this one. */
    [[nodiscard]] std::size_t size() const noexcept { return vms_.size(); }
    /** @return The registered VMs, including this one. */
    [[nodiscard]] const std::vector<streams::KeeperCandidate>& list() const noexcept { return list_; }
    /** @return Addresses of the registered VMs, including this one, in order. */
    [[nodiscard]] const std::vector<PeerAddress>& addresses() const noexcept { return addresses_; }

    [[nodiscard]] static const StreamName& stream();

private:
    /** Pause between two reads of the VM list. VMs register once, and heartbeats show which are alive: the list is
     * needed only to find new VMs. */
    static constexpr Duration readPause = std::chrono::seconds(3);
    /** The same after the start, when the VMs of a fleet that starts together register. */
    static constexpr Duration firstReadPause = std::chrono::milliseconds(500);
    static constexpr Duration firstReadsTime = std::chrono::seconds(5);
    /** Time between two attempts to register this VM while it is not listed. */
    static constexpr Duration registerPeriod = std::chrono::seconds(10);

    Context& context_;
    Peers& peers_;
    std::map<std::string, ListedVm> vms_;
    std::vector<PeerAddress> addresses_;
    std::vector<streams::KeeperCandidate> list_;
    Instant nextRegister_ {};
    bool unregistered_ = false;
    Instant startedAt_ {};
    Duration pause_ = firstReadPause;
};

} // namespace swiftlift::node
