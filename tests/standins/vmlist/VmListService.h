#pragma once

#include "common/Gate.h"
#include "common/Lagged.h"
#include "common/Service.h"

namespace swiftlift::standins {

/** Stands in for the platform's list of VMs; docs/PROTOCOLS.md, section 5. */
class VmListService : public Service {
public:
    /** @param lag Age of the list that callers see. */
    explicit VmListService(Milliseconds lag);

    [[nodiscard]] Awaitable<void> serve(Exchange& exchange) override;
    [[nodiscard]] Json audit(const Exchange& exchange) const override;

private:
    Gate gate_;
    Milliseconds lag_;
    Lagged<Json> vms_;
    std::uint64_t reads_ = 0;
};

} // namespace swiftlift::standins
