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

/** Called with each document that comes into force. */
using DocumentListener = std::function<void(const settings::ServiceDocument&)>;

/** The services' documents in force, read from stream `config`, and the backend servers that they name. */
class Services {
public:
    Services(Context& context, Peers& peers, const LogHealth& health, routing::BackendTable& backends,
        DocumentListener listener);

    /** Starts reading the stream. */
    void start();
    void onRecords(const LogRecords& records);
    /** Handles a peer's answer to a ReadAsk. */
    void onPeerRecords(const Records& records);
    /** Continues from the oldest offset that the log still has. */
    void onExpired(Offset oldest);
    /** Sends the records from this offset on to a peer that can't reach the log. */
    void onReadAsk(Incarnation from, Offset offset);
    void tick();

    /** @return The document in force; null: none. A request that holds it can use it until the request's end. */
    [[nodiscard]] ServiceDocumentPtr find(const ServiceName& name) const;
    [[nodiscard]] const config::ConfigFold& fold() const noexcept { return fold_; }
    /** @return True once the stream has been read to its end. */
    [[nodiscard]] bool caughtUp() const noexcept { return caughtUp_; }

    [[nodiscard]] static const StreamName& stream();

private:
    /** Maximum size of the records in one answer to a peer. */
    static constexpr std::size_t peerAnswerBytes = 64 * 1024;
    /** Time between two ReadAsk messages while the log is unreachable. */
    static constexpr Duration readAskPeriod = std::chrono::milliseconds(300);
    /** Minimum time between two snapshots; SnapshotSchedule adds a random delay. */
    static constexpr Duration snapshotInterval = std::chrono::seconds(30);

    void follow();
    void onEffects(const std::vector<config::ConfigEffect>& effects);
    void applyCurrentDocument(const ServiceName& name);
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
