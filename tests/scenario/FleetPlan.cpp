#include "FleetPlan.h"

#include <map>
#include <random>
#include <sstream>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Errors.h"

namespace swiftlift::scenario {

namespace internal {

    struct Shape {
        std::string region;
        std::vector<std::string> domains;
        double delayMs;
        double stepMs;
    };

    const Shape& shapeOf(const std::string& name)
    {
        static const std::map<std::string, Shape> shapes {
            { "stitchworks", { "sask-south", { "regina-a", "regina-b", "moose-jaw", "swift-current" }, 1.5, 3 } },
            { "burzowa", { "pl-central", { "lodz-a", "lodz-b", "wwa-1", "wwa-2" }, 0.5, 3 } },
        };
        const auto found = shapes.find(name);
        if (found == shapes.end())
            throw BrokenScript("fleet: shape has to be stitchworks or burzowa");
        return found->second;
    }

    // Offsets from the run's base port, and the last parts of loopback addresses.
    constexpr std::uint16_t callersPort = 0;
    constexpr std::uint16_t operatorsPort = 1;
    constexpr std::uint16_t metricsPort = 2;
    constexpr std::uint16_t peerPort = 3;
    constexpr std::uint16_t backendPort = 4;
    constexpr std::uint16_t platformPort = 5;
    constexpr std::uint16_t relayPort = 6;
    constexpr std::uint16_t firstLinkPort = 10;
    constexpr std::size_t firstEngine = 100;
    constexpr std::size_t firstPlain = 200;
    constexpr std::size_t firstLinkNet = 100;
    constexpr const char* platformIp = "127.0.250.";
    // Names of the sides of links that are no domains of VMs.
    constexpr const char* platformSide = "platform";
    constexpr const char* backendSide = "backends";

    std::string domainIp(std::size_t domain, std::size_t last)
    {
        return "127.0." + std::to_string(domain + 1) + "." + std::to_string(last);
    }

    Address at(std::string ip, std::uint16_t base, std::uint16_t offset)
    {
        return { std::move(ip), static_cast<std::uint16_t>(base + offset) };
    }

    VmPlan planVm(const std::string& domain, std::size_t domainIndex, std::size_t number, std::uint16_t base)
    {
        const std::string ip = domainIp(domainIndex, number);
        VmPlan vm;
        vm.name = domain + "-" + std::to_string(number);
        vm.domain = domain;
        vm.peer = at(ip, base, peerPort);
        vm.callers = at(ip, base, callersPort);
        vm.operators = at(ip, base, operatorsPort);
        vm.metrics = at(ip, base, metricsPort);
        vm.relay = at(ip, base, relayPort);
        return vm;
    }

    /** Every VM gets listeners of its own, so that each direction of each pair can be cut by itself. */
    class LinkPlanner {
    public:
        LinkPlanner(FleetPlan& plan, std::uint16_t base, double delayMs)
            : plan_(plan)
            , base_(base)
            , delayMs_(delayMs)
        {
        }

        void run()
        {
            for (std::size_t index = 0; index < plan_.vms.size(); ++index) {
                const std::string ip = "127.0." + std::to_string(firstLinkNet + index) + ".1";
                const std::uint16_t nextPort = planFrom(plan_.vms[index], ip);
                if (plan_.backendLinks)
                    planToBackends(plan_.vms[index], ip, nextPort);
            }
        }

    private:
        /** @return The first port of the address that is not used. */
        std::uint16_t planFrom(VmPlan& vm, const std::string& ip)
        {
            std::uint16_t port = firstLinkPort;
            vm.log = add(vm, "log", platformSide, at(ip, base_, port++), plan_.log, 0);
            vm.vmList = add(vm, "vm-list", platformSide, at(ip, base_, port++), plan_.vmList, 0);
            for (const auto& other : plan_.vms) {
                if (other.name != vm.name) {
                    const double delay = other.domain == vm.domain ? 0 : delayMs_;
                    add(vm, other.name, other.domain, at(ip, base_, port), other.peer, delay);
                }
                ++port;
            }
            return port;
        }

        void planToBackends(const VmPlan& vm, const std::string& ip, std::uint16_t port)
        {
            for (const auto* kind : { &plan_.engines, &plan_.plains }) {
                for (const BackendPlan& backend : *kind)
                    add(vm, backend.name, backendSide, at(ip, base_, port++), backend.address, 0);
            }
        }

        Address add(const VmPlan& vm, const std::string& to, const std::string& toDomain, Address listen,
            const Address& target, double delay)
        {
            plan_.links.push_back({ vm.name + ">" + to, vm.name, vm.domain, to, toDomain, listen, target, delay });
            return listen;
        }

        FleetPlan& plan_;
        std::uint16_t base_;
        double delayMs_;
    };

    bool isFree(const Address& address)
    {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        sockaddr_in name {};
        name.sin_family = AF_INET;
        name.sin_port = htons(address.port);
        ::inet_pton(AF_INET, address.ip.c_str(), &name.sin_addr);
        const bool free = ::bind(socket, reinterpret_cast<sockaddr*>(&name), sizeof(name)) == 0;
        ::close(socket);
        return free;
    }

    std::vector<std::string> domainsOf(Fields& fields, const Shape& shape)
    {
        const Json given = fields.any("domains");
        if (given.is_null())
            return shape.domains;
        if (given.is_number())
            return { shape.domains.begin(), shape.domains.begin() + given.get<std::ptrdiff_t>() };
        return given.get<std::vector<std::string>>();
    }

    /** @return How many there are in each domain, from a number or a table of numbers in the domains' order. */
    std::vector<std::size_t> perDomain(Fields& fields, const std::string& name, std::size_t domains, std::size_t usual)
    {
        const Json given = fields.any(name);
        if (given.is_array())
            return given.get<std::vector<std::size_t>>();
        return std::vector<std::size_t>(domains, given.is_number() ? given.get<std::size_t>() : usual);
    }

    void planDomains(FleetPlan& plan, Fields& fields, std::uint16_t base)
    {
        constexpr std::size_t usualVms = 2;
        constexpr std::size_t usualBackends = 1;
        const auto vms = perDomain(fields, "vms", plan.domains.size(), usualVms);
        const auto engines = perDomain(fields, "engines", plan.domains.size(), usualBackends);
        const auto plains = perDomain(fields, "plains", plan.domains.size(), usualBackends);
        for (std::size_t d = 0; d < plan.domains.size(); ++d) {
            const std::string& domain = plan.domains[d];
            for (std::size_t v = 1; v <= vms.at(d); ++v)
                plan.vms.push_back(planVm(domain, d, v, base));
            for (std::size_t e = 1; e <= engines.at(d); ++e)
                plan.engines.push_back({ domain + "-engine-" + std::to_string(e), domain,
                    at(domainIp(d, firstEngine + e), base, backendPort) });
            for (std::size_t p = 1; p <= plains.at(d); ++p)
                plan.plains.push_back({ domain + "-plain-" + std::to_string(p), domain,
                    at(domainIp(d, firstPlain + p), base, backendPort) });
        }
    }

    std::map<std::string, std::string> engineOptions(Fields& fields)
    {
        std::map<std::string, std::string> options;
        const Json given = fields.any("engine_options");
        for (const auto& [name, value] : given.items())
            options[name] = value.is_string() ? value.get<std::string>() : value.dump();
        return options;
    }

    bool isVmSide(const std::string& side) { return side != platformSide && side != backendSide; }

    bool isBackendSide(const std::string& side) { return side == backendSide; }

    /** @return The VM's links to sides of this kind, as a setting. */
    std::string viaText(const FleetPlan& plan, const VmPlan& vm, bool (*isKind)(const std::string& side))
    {
        std::ostringstream text;
        const char* separator = "";
        for (const auto& link : plan.links) {
            if (link.from == vm.name && isKind(link.toDomain)) {
                text << separator << '"' << link.target.text() << "\": \"" << link.listen.text() << '"';
                separator = ", ";
            }
        }
        return "{" + text.str() + "}";
    }

} // namespace internal

FleetPlan planFleet(Fields& fields, std::uint16_t basePort)
{
    FleetPlan plan;
    plan.shape = fields.text("shape", "stitchworks");
    const auto& shape = internal::shapeOf(plan.shape);
    plan.region = shape.region;
    plan.domains = internal::domainsOf(fields, shape);
    plan.stepMs = fields.real("step_ms", shape.stepMs);
    plan.capacity = fields.number("capacity", 0);
    plan.engineOptions = internal::engineOptions(fields);
    plan.backendLinks = fields.flag("backend_links", false);
    plan.retention = fields.number("retention", 0);
    plan.appendsPerSecond = fields.number("appends_per_second", 0);
    plan.ledgerPolicy = fields.text("ledger_policy", "grants");
    plan.routingPolicy = fields.text("routing_policy", "affinity");
    plan.log = internal::at(std::string(internal::platformIp) + "1", basePort, internal::platformPort);
    plan.vmList = internal::at(std::string(internal::platformIp) + "2", basePort, internal::platformPort);
    plan.linkControl = internal::at(std::string(internal::platformIp) + "3", basePort, internal::platformPort);
    internal::planDomains(plan, fields, basePort);
    internal::LinkPlanner(plan, basePort, fields.real("delay_ms", shape.delayMs)).run();
    fields.nothingElse();
    return plan;
}

std::uint16_t findBasePort(std::uint64_t seed)
{
    constexpr unsigned lowest = 10'000;
    constexpr unsigned step = 50;
    constexpr unsigned choices = 400;
    std::mt19937_64 random(seed ^ static_cast<std::uint64_t>(::getpid()));
    for (unsigned tries = 0; tries < choices; ++tries) {
        const auto base = static_cast<std::uint16_t>(lowest + step * (random() % choices));
        bool free = true;
        for (std::uint16_t offset = 0; offset < step && free; ++offset)
            free = internal::isFree({ "127.0.1.1", static_cast<std::uint16_t>(base + offset) })
                && internal::isFree({ "127.0.250.1", static_cast<std::uint16_t>(base + offset) });
        if (free)
            return base;
    }
    throw BrokenScript("no free ports on the loopback addresses");
}

std::string routerSettings(const FleetPlan& plan, const VmPlan& vm, std::uint64_t seed)
{
    std::ostringstream text;
    text << "vm:\n  peer: " << vm.peer.text() << "\n  domain: " << vm.domain << "\n  region: " << plan.region << "\n"
         << "callers:\n  listen: " << vm.callers.text() << "\n"
         << "relay:\n  listen: " << vm.relay.text() << "\n"
         << "operators:\n  listen: " << vm.operators.text() << "\n"
         << "metrics:\n  listen: " << vm.metrics.text() << "\n"
         << "log:\n  endpoints: [\"" << vm.log.text() << "\"]\n"
         << "vm_list:\n  endpoint: " << vm.vmList.text() << "\n"
         << "peers:\n  seeds: [";
    const char* separator = "";
    for (const auto& other : plan.vms) {
        if (other.name != vm.name) {
            text << separator << '"' << other.peer.text() << '"';
            separator = ", ";
        }
    }
    text << "]\n  via: " << internal::viaText(plan, vm, internal::isVmSide) << "\n";
    if (plan.backendLinks)
        text << "backends:\n  via: " << internal::viaText(plan, vm, internal::isBackendSide) << "\n";
    text << "ledger:\n  policy: " << plan.ledgerPolicy << "\n";
    if (plan.ledgerPolicy == "static_split")
        text << "  split_ways: " << plan.vms.size() << "\n";
    text << "routing:\n  policy: " << plan.routingPolicy << "\n"
         << "seed: " << seed << "\n";
    return text.str();
}

std::string ctlSettings(const FleetPlan& plan)
{
    std::ostringstream text;
    text << "author: scenario\nlog:\n  endpoints: [\"" << plan.log.text() << "\"]\nrouters:\n  operators: [";
    const char* separator = "";
    for (const auto& vm : plan.vms) {
        text << separator << '"' << vm.operators.text() << '"';
        separator = ", ";
    }
    text << "]\n";
    return text.str();
}

} // namespace swiftlift::scenario
