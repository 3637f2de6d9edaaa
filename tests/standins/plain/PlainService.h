#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/Announcer.h"
#include "common/Gate.h"
#include "common/LoadReport.h"
#include "common/Service.h"

namespace swiftlift::standins {

struct PlainSettings {
    /** Time that a call takes. */
    double callMs = 5;
    double loadLagMs = 0;
};

/** Stands in for a plain service; docs/PROTOCOLS.md, section 3. */
class PlainService : public Service {
public:
    explicit PlainService(const PlainSettings& settings);

    [[nodiscard]] Awaitable<void> serve(Exchange& exchange) override;
    [[nodiscard]] Json audit(const Exchange& exchange) const override;
    void start(asio::io_context& context) override;

private:
    /** What the audit knows of one request key. */
    struct Calls {
        std::uint64_t started = 0;
        /** How often the call took effect. */
        std::uint64_t ran = 0;
        std::uint64_t answered = 0;
        std::vector<std::string> attempts;
    };

    void addControls();
    [[nodiscard]] Json load() const;
    [[nodiscard]] Awaitable<void> call(Exchange& exchange);
    [[nodiscard]] Awaitable<void> run(const Exchange& exchange, Calls& calls);
    [[nodiscard]] bool breaksOff();

    PlainSettings settings_;
    Gate gate_;
    std::map<std::string, Calls> keys_;
    /** Keys in the order in which their calls took effect. */
    std::vector<std::string> order_;
    std::uint64_t running_ = 0;
    std::uint64_t rejected_ = 0;
    Announcer announcer_ { { "X-Limit", "X-Leaving", "X-Brittle" } };
    bool leaving_ = false;
    bool refuse_ = false;
    std::uint64_t breaksLeft_ = 0;
    /** Last, because it starts as a report on all the others. */
    LoadReport load_;
};

} // namespace swiftlift::standins
