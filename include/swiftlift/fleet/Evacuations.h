#pragma once

#include <optional>
#include <set>
#include <vector>

#include "swiftlift/base/Ids.h"

namespace swiftlift::fleet {

/** @brief The operators began or ended the evacuation of a failure domain. */
struct EvacuationChange {
    FailureDomain domain;
    bool evacuated = false;

    [[nodiscard]] bool operator==(const EvacuationChange&) const = default;
};

/**
 * @brief The failure domains that the operators evacuate: their backend servers get no requests.
 *
 * The state is that of the operators' stream after every record below `position()`. Whatever shows an earlier state is
 * ignored, so that a late read, a restarted reader or a peer that has read less can't revert an evacuation or its end.
 */
class Evacuations {
public:
    /**
     * @brief Applies one record of the operators' stream.
     * @param offset Offset of the record.
     * @param domain The failure domain that the record names.
     * @param evacuated True: the evacuation is requested; false: it is taken back.
     * @return The change; nothing if the record is known or changes nothing.
     */
    [[nodiscard]] std::optional<EvacuationChange> apply(Offset offset, const FailureDomain& domain, bool evacuated);

    /**
     * @brief Replaces the state by that after every record below `position`, unless the present one is later.
     * @param position Offset of the first record that is not part of the new state.
     * @param evacuated All evacuated failure domains.
     * @return The changes, in order of the domains' names.
     */
    [[nodiscard]] std::vector<EvacuationChange> replace(Offset position, const std::set<FailureDomain>& evacuated);

    /** @brief Records that the stream was read up to `position`, and that no further record concerns evacuations. */
    void advance(Offset position);

    [[nodiscard]] bool contains(const FailureDomain& domain) const { return domains_.contains(domain); }
    /** @return The evacuated failure domains. */
    [[nodiscard]] const std::set<FailureDomain>& domains() const noexcept { return domains_; }
    /** @return Offset of the first record that is not part of the state. */
    [[nodiscard]] Offset position() const noexcept { return position_; }

private:
    std::set<FailureDomain> domains_;
    Offset position_;
};

} // namespace swiftlift::fleet
