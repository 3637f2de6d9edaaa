#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "swiftlift/base/Finding.h"
#include "swiftlift/fleet/BackendServer.h"
#include "swiftlift/fleet/FleetConfig.h"

namespace swiftlift::fleet {

/**
 * @brief Parser of the operator's format for the fleet configuration and for backend server registrations.
 *
 * Results depend on the arguments only; implementations have no side effects.
 */
class FleetCodec {
public:
    FleetCodec() = default;
    virtual ~FleetCodec() = default;
    FleetCodec(const FleetCodec&) = delete;
    FleetCodec& operator=(const FleetCodec&) = delete;

    /**
     * @brief Parses a configuration.
     * @param text The whole configuration.
     * @param findings Receives every error, with its position in the text.
     * @return The configuration; empty when there are errors.
     */
    [[nodiscard]] virtual std::optional<FleetConfig> config(std::string_view text, Findings& findings) const = 0;

    /**
     * @brief Parses the registration of a backend server.
     * @param id The backend server's id.
     * @param text The registration that the backend server wrote.
     * @param findings Receives every error, with its position in the text.
     * @return The backend server; empty when there are errors.
     */
    [[nodiscard]] virtual std::optional<BackendServer> server(
        const std::string& id, std::string_view text, Findings& findings) const = 0;

    /**
     * @brief Recognises requests for an evacuation among the records of the operators' stream by their keys.
     * @param key Key of the record.
     * @return The failure domain to evacuate as long as the record exists; empty for any other record.
     */
    [[nodiscard]] virtual std::optional<FailureDomain> evacuatedDomain(std::string_view key) const = 0;

    /**
     * @brief Checks the text of a request for an evacuation.
     * @param key Key of the record.
     * @param text The record's text.
     * @param findings Receives every error.
     * @return True if the text is a valid request.
     */
    [[nodiscard]] virtual bool isEvacuation(std::string_view key, std::string_view text, Findings& findings) const = 0;
};

} // namespace swiftlift::fleet
