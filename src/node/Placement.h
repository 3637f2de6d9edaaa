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
 * @brief Orders to the engines of this router's failure domain: takes part in the order lease, and plans while it has
 * it.
 *
 * Routers without the lease tell the holder through the log which models their requests did not find.
 */
class Placement {
public:
    Placement(
        Context& context, const LogHealth& health, const Services& services, const routing::BackendTable& backends);

    void start();
    [[nodiscard]] const StreamName& stream() const noexcept { return stream_; }
    void onRecords(const LogRecords& records);
    void onExpired(Offset oldest);
    /** An append to the stream was answered or failed, or a read failed. */
    void onAppendEnded() { lease_.onAppendEnded(); }
    void onLoad(const BackendLoad& load);
    void onOrderAnswered(const OrderAnswered& answered);
    /** A request was given up as no engine has its model. */
    void onUnserved(const std::string& model);
    /** @param takesPart This router is ready and stays. */
    void tick(bool takesPart);

private:
    static constexpr Duration planPeriod = std::chrono::seconds(1);
    /** Between two records of one router that tell of models in need, and between two that name the same model. */
    static constexpr Duration needPeriod = std::chrono::seconds(2);
    static constexpr Duration needPause = std::chrono::seconds(8);
    static constexpr std::size_t mostNeeds = 64;
    static constexpr Duration blockedPeriod = std::chrono::seconds(10);

    void follow(Offset from);
    void apply(Offset offset, const std::string& bytes);
    void onNeed(const placement::Need& need);
    void noteChanges();
    void endLeaseTerm();
    void beginLeaseTerm();
    void refreshCatalogue();
    void planWhenDue();
    void sendOrder(const placement::Order& order);
    void logBlocked();
    void tellNeeds();

    Context& context_;
    const LogHealth& health_;
    const Services& services_;
    const routing::BackendTable& backends_;
    StreamName stream_;
    placement::OrderLease lease_;
    /** While this router has the lease. */
    std::optional<placement::Planner> planner_;
    std::optional<Offset> catalogueAsOf_;
    /** Models that requests of this router did not find, to be told to the holder. */
    std::set<std::string> needs_;
    /** When a need of a model was read or told last. */
    std::map<std::string, Instant> toldAt_;
    Instant nextPlan_ {};
    Instant nextNeed_ {};
    Instant nextBlocked_ {};
};

} // namespace swiftlift::node
