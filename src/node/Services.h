#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "node/Context.h"
#include "node/LogHealth.h"
#include "node/Peers.h"
#include "swiftlift/config/ConfigFold.h"
#include "swiftlift/config/SnapshotSchedule.h"
#include "swiftlift/routing/BackendTable.h"

namespace swiftlift::node {

using ServiceDocumentPtr = std::shared_ptr<const settings::ServiceDocument>;

/** Told of each document that comes into force. */
using DocumentListener = std::function<void(const settings::ServiceDocument&)>;

/** The services in force: the fold over stream `config`, and what follows from it for routing. */
class Services {
public:
    Services(Context& context, Peers& peers, const LogHealth& health, routing::BackendTable& backends,
        DocumentListener listener);

    void start();
    void onRecords(const LogRecords& records);
    void onPeerRecords(const Records& records);
    void onExpired(Offset oldest);
    void onReadAsk(Incarnation from, Offset offset);
    void tick();

    /** @return The document in force; null when there is none. Stays valid for requests that hold it. */
    [[nodiscard]] ServiceDocumentPtr find(const ServiceName& name) const;
    [[nodiscard]] const config::ConfigFold& fold() const noexcept { return fold_; }
    [[nodiscard]] bool caughtUp() const noexcept { return caughtUp_; }

    [[nodiscard]] static const StreamName& stream();

private:
    static constexpr std::size_t peerAnswerBytes = 64 * 1024;
    static constexpr Duration readAskPeriod = std::chrono::milliseconds(300);
    static constexpr Duration snapshotInterval = std::chrono::seconds(30);

    void follow();
    void onEffects(const std::vector<config::ConfigEffect>& effects);
    void putInForce(const ServiceName& name);
    void watchBackends();

    Context& context_;
    Peers& peers_;
    const LogHealth& health_;
    routing::BackendTable& backends_;
    DocumentListener listener_;
    config::ConfigFold fold_;
    config::SnapshotSchedule snapshots_;
    std::map<ServiceName, ServiceDocumentPtr> documents_;
    Instant nextReadAsk_ {};
    bool caughtUp_ = false;
};

} // namespace swiftlift::node
