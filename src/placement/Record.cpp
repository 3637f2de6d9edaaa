#include "swiftlift/placement/Record.h"

#include "orders.pb.h"

namespace swiftlift::placement {

StreamName ordersStream(const FailureDomain& domain) { return StreamName { "orders-" + domain.value() }; }

std::string encode(const Claim& claim)
{
    proto::orders::Record record;
    record.set_rules_version(rulesVersion);
    proto::orders::Claim& written = *record.mutable_claim();
    written.set_holder(claim.holder.value());
    written.set_replaces(claim.replaces);
    written.set_fencing(claim.fencing);
    written.set_sequence(claim.sequence);
    return record.SerializeAsString();
}

std::string encode(const Need& need)
{
    proto::orders::Record record;
    record.set_rules_version(rulesVersion);
    proto::orders::Need& written = *record.mutable_need();
    for (const auto& model : need.models) {
        written.add_models(model);
    }
    return record.SerializeAsString();
}

Record decode(const std::string& bytes)
{
    proto::orders::Record record;
    if (!record.ParseFromString(bytes)) {
        return Unreadable {};
    }
    if (record.rules_version() > rulesVersion) {
        return LaterRules {};
    }
    if (record.has_claim()) {
        const auto& claim = record.claim();
        return Claim { Incarnation { claim.holder() }, claim.replaces(), claim.fencing(), claim.sequence() };
    }
    if (record.has_need()) {
        return Need { { record.need().models().begin(), record.need().models().end() } };
    }
    return Unreadable {};
}

} // namespace swiftlift::placement
