#pragma once

#include <cstdint>
#include <optional>

#include "swiftlift/base/Units.h"
#include "swiftlift/node/Core.h"

namespace swiftlift::node {

/**
 * @brief How often one router may call the log, so that the whole fleet stays within the log's rates.
 *
 * Load pattern: each of some hundred routers reads the same streams and appends for itself. The log refuses calls
 * beyond its rates, whichever they are; routers that then read neither the configuration nor the ledger refuse their
 * callers, and their retries keep the log at its limit.
 */
class LogPace {
public:
    explicit LogPace(const LogRates& rates);

    /**
     * @param least Pause without a limit.
     * @param routers Number of routers that call the log.
     * @return Pause between two reads of the ledger.
     */
    [[nodiscard]] Duration ledgerPause(Duration least, std::uint32_t routers) const;
    /** As ledgerPause(), for the stream of backend servers. */
    [[nodiscard]] Duration serversPause(Duration least, std::uint32_t routers) const;
    /** As ledgerPause(), for the time between two checks of a list's end. */
    [[nodiscard]] Duration checkPeriod(Duration least, std::uint32_t routers) const;
    /** As ledgerPause(), for the time between two routine appends. */
    [[nodiscard]] Duration appendPeriod(Duration least, std::uint32_t routers) const;

private:
    /** @return Reads per second that one router may make of its busy streams; nothing: as many as it likes. */
    [[nodiscard]] std::optional<double> busyReads(std::uint32_t routers) const;

    LogRates rates_;
};

} // namespace swiftlift::node
