#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "HttpClient.h"
#include "LuaRuntime.h"

namespace swiftlift::scenario {

/** A router's VM. */
struct VmPlan {
    /** `domain-number`, as `regina-a-1`. */
    std::string name;
    std::string domain;
    Address peer;
    Address callers;
    Address operators;
    Address metrics;
    Address relay;
    /** The platform's log and VM list as this VM reaches them: through links. */
    Address log;
    Address vmList;
};

struct BackendPlan {
    /** `domain-engine-number` or `domain-plain-number`. */
    std::string name;
    std::string domain;
    Address address;
};

/** A one-way connection of one VM, through the link stand-in. */
struct LinkPlan {
    std::string name;
    /** Name of the VM that connects, and its domain. */
    std::string from;
    std::string fromDomain;
    /** Name of what it connects to (VM, `log`, `vm-list` or backend server), and its domain (`platform` for `log` and
     * `vm-list`, `backends` for backend servers). */
    std::string to;
    std::string toDomain;
    Address listen;
    Address target;
    double delayMs = 0;
};

/** Who is there, and where; nothing has been started. */
struct FleetPlan {
    std::string shape;
    std::string region;
    std::vector<std::string> domains;
    std::vector<VmPlan> vms;
    std::vector<BackendPlan> engines;
    std::vector<BackendPlan> plains;
    std::vector<LinkPlan> links;
    Address log;
    Address vmList;
    Address linkControl;
    double stepMs = 3;
    std::int64_t capacity = 0;
    /** VMs reach backend servers through links, too. */
    bool backendLinks = false;
    /** More flags of the engine stand-ins, by name. */
    std::map<std::string, std::string> engineOptions;
    std::int64_t retention = 0;
    std::string ledgerPolicy;
    std::string routingPolicy;
    std::int64_t appendsPerSecond = 0;
};

/** @return The fleet that `fleet{...}` asks for, with ports from `basePort` up. */
[[nodiscard]] FleetPlan planFleet(Fields& fields, std::uint16_t basePort);

/** @return A base port at which the fleet's addresses are free on this machine now, drawn from the seed. */
[[nodiscard]] std::uint16_t findBasePort(std::uint64_t seed);

/** @return The settings file of one router. */
[[nodiscard]] std::string routerSettings(const FleetPlan& plan, const VmPlan& vm, std::uint64_t seed);

/** @return The settings file of `swiftliftctl`; it reaches the log without a link. */
[[nodiscard]] std::string ctlSettings(const FleetPlan& plan);

} // namespace swiftlift::scenario
