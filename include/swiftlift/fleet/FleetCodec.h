#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "swiftlift/base/Finding.h"
#include "swiftlift/fleet/BackendServer.h"
#include "swiftlift/fleet/FleetConfig.h"

namespace swiftlift::fleet {

/** How whoever runs the fleet writes its configuration and its backend servers down. Pure: texts in, values out. */
class FleetCodec {
public:
    FleetCodec() = default;
    virtual ~FleetCodec() = default;
    FleetCodec(const FleetCodec&) = delete;
    FleetCodec& operator=(const FleetCodec&) = delete;

    /**
     * @param text The whole configuration.
     * @param findings Takes all that is wrong, with its place.
     * @return The configuration; nothing when anything was found.
     */
    [[nodiscard]] virtual std::optional<FleetConfig> config(std::string_view text, Findings& findings) const = 0;

    /**
     * @param id The backend server's id.
     * @param text What it says of itself.
     * @param findings Takes all that is wrong, with its place.
     * @return The backend server; nothing when anything was found.
     */
    [[nodiscard]] virtual std::optional<BackendServer> server(
        const std::string& id, std::string_view text, Findings& findings) const = 0;
};

} // namespace swiftlift::fleet
