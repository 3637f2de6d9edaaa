#include "swiftlift/ledger/HoldingPolicy.h"

#include "ledger/PolicyAppendPerRequest.h"
#include "ledger/PolicyDemandGrants.h"
#include "ledger/PolicyStaticSplit.h"

namespace swiftlift::ledger {

std::unique_ptr<HoldingPolicy> makePolicy(std::string_view name, PolicySettings settings)
{
    if (name == "grants")
        return std::make_unique<internal::DemandGrantsPolicy>(settings);
    if (name == "static_split")
        return std::make_unique<internal::StaticSplitPolicy>(settings.splitBetween);
    if (name == "append_per_request")
        return std::make_unique<internal::AppendPerRequestPolicy>();
    return nullptr;
}

} // namespace swiftlift::ledger
