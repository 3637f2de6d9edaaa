#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "node/Context.h"
#include "node/LogHealth.h"
#include "node/Services.h"
#include "swiftlift/placement/OrderLease.h"
#include "swiftlift/placement/Planner.h"
#include "swiftlift/routing/BackendTable.h"

namespace swiftlift::node {

/**
 * @brief Sends orders to the engines of this router's failure domain: competes for the order lease and plans the orders
 * while it holds the lease.
 *
 * Routers without the lease report to its holder, through the log, models that their requests needed and no engine had.
 */
class Placement {
public:
    Placement(
        Context& context, const LogHealth& health, const Services& services, const routing::BackendTable& backends);

    void start();
    [[nodiscard]] const StreamName& stream() const noexcept { return stream_; }
    /** Applies records of the domain's order stream. */
    void onRecords(const LogRecords& records);
    /** Handles that the log has dropped records of the order stream; `oldest` is the oldest that it still has. */
    void onExpired(Offset oldest);
    /** Handles that an append to the order stream was answered or has failed, or that a read has failed. */
    void onAppendEnded() { lease_.onAppendEnded(); }
    void onLoad(const BackendLoad& load);
    void onOrderAnswered(const OrderAnswered& answered);
    /** Handles that a request was refused because no engine has its model. */
    void onUnserved(const std::string& model);
    /** @param takesPart This router is ready and does not stop, so it may compete for the lease. */
    void tick(bool takesPart);

private:
    /** Time between two plans of the lease holder. */
    static constexpr Duration planPeriod = std::chrono::seconds(1);
    /** Minimum time between two Need records of one router. */
    static constexpr Duration needRecordPeriod = std::chrono::seconds(2);
    /** Minimum time between two Need records, of any router, that name the same model. */
    static constexpr Duration needRepeatPause = std::chrono::seconds(8);
    /** Maximum number of models in one Need record. */
    static constexpr std::size_t maxNeeds = 64;
    /** Minimum time between two series of log lines on models that no engine can load. */
    static constexpr Duration blockedLogPeriod = std::chrono::seconds(10);

    void follow(Offset from);
    void apply(Offset offset, const std::string& bytes);
    void onNeed(const placement::Need& need);
    /** Logs changes of the lease; begins or ends this router's lease term. */
    void handleLeaseChanges();
    void endLeaseTerm();
    void beginLeaseTerm();
    /** Gives the planner the models and engines of the services, if services have changed. */
    void refreshCatalogue();
    void planWhenDue();
    void sendOrder(const placement::Order& order);
    /** Logs models that are needed and that no engine can load. */
    void logBlocked();
    /** Appends a Need record with the models that this router's requests needed, if one is due. */
    void appendNeeds();

    Context& context_;
    const LogHealth& health_;
    const Services& services_;
    const routing::BackendTable& backends_;
    StreamName stream_;
    placement::OrderLease lease_;
    /** Present while this router holds the lease. */
    std::optional<placement::Planner> planner_;
    /** Offset of the service stream at which the planner's catalogue was made. */
    std::optional<Offset> catalogueAsOf_;
    /** Models that requests of this router needed and no engine had, to be reported to the lease holder. */
    std::set<std::string> needs_;
    /** When a Need record that names the model was last read or appended. */
    std::map<std::string, Instant> needSeenAt_;
    Instant nextPlan_ {};
    Instant nextNeedRecord_ {};
    Instant nextBlockedLog_ {};
};

} // namespace swiftlift::node
