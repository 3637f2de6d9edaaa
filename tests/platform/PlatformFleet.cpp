#include "platform/PlatformFleet.h"

#include <fstream>
#include <iostream>
#include <set>
#include <thread>

#include <boost/asio/ip/address.hpp>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include "link/LinkService.h"

namespace swiftlift::platform::test {

using nlohmann::json;
using standins::RunningService;
using standins::Tcp;

namespace {

    constexpr std::chrono::seconds maxWait { 60 };
    constexpr std::chrono::milliseconds pollInterval { 20 };
    const std::vector<std::string> domains { "regina-a", "regina-b" };

    /**
     * @return The loopback address of this process, on which its routers listen. On an address shared with other
     * processes, their listeners or outgoing connections (127.0.0.1) could take a chosen port before the router starts,
     * which then fails with "Address already in use".
     */
    std::string routerHost()
    {
        constexpr unsigned firstNetwork = 32;
        constexpr unsigned networks = 128;
        constexpr unsigned addresses = 256;
        const auto process = static_cast<unsigned>(::getpid());
        return "127." + std::to_string(firstNetwork + process / addresses % networks) + "."
            + std::to_string(process % addresses) + ".1";
    }

    /**
     * @return An address of the routers' host with a port that is free at the moment. No port is returned twice: the
     * port is released at once, and a router with the same port for two listeners would fail to start.
     */
    std::string freeAddress()
    {
        static std::set<std::uint16_t> used;
        const std::string host = routerHost();
        standins::asio::io_context context;
        std::uint16_t port = 0;
        do {
            const Tcp::acceptor acceptor(context, Tcp::endpoint(standins::asio::ip::make_address(host), 0));
            port = acceptor.local_endpoint().port();
        } while (!used.insert(port).second);
        return host + ":" + std::to_string(port);
    }

    /** Prints the end of the log of a router that did not become ready; the log is deleted when the test ends. */
    void printLastLines(const scenario::Process& router)
    {
        constexpr std::size_t lineCount = 15;
        std::cerr << router.name() << ":\n";
        for (const std::string& line : scenario::lastLines(router.output(), lineCount)) {
            std::cerr << line << '\n';
        }
    }

    Tcp::endpoint endpointOf(const std::string& address) { return standins::parseEndpoint(address); }

    const std::string& domainOf(std::size_t index) { return domains[index % domains.size()]; }

    json routeOf(const std::string& name, const std::string& type, const FleetSize& size)
    {
        return { { "name", name }, { "hostname", "desk.example" }, { "path_prefix", "/" + name + "/" },
            { "type", type }, { "timeout_ms", size.routeTimeoutMs }, { "target_latency_ms", 300 }, { "priority", 0 },
            { "backend", type == "streaming" ? "model" : "plain" }, { "max_attempts", size.maxAttempts },
            { "public", false }, { "sticky", type == "streaming" }, { "resumable", name == "resumable" },
            { "gap_aim_ms", 300 } };
    }

    json configOf(std::uint64_t version, std::int64_t budget, const FleetSize& size)
    {
        json config;
        config["version"] = version;
        config["routes"] = { routeOf("stream", "streaming", size), routeOf("resumable", "streaming", size),
            routeOf("plain", "safe", size), routeOf("order", "unsafe", size) };
        config["backends"]
            = { { { "name", "model" }, { "engine", { { "slots", 32 }, { "stride", 7 } } } }, { { "name", "plain" } } };
        config["limits"] = { { "max_header_bytes", 16384 }, { "max_body_bytes", size.maxBodyBytes },
            { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15000 } };
        config["tenants"]
            = { { { "name", "club" }, { "api_keys", { "key-one" } }, { "priority", 1 }, { "reserved", budget } } };
        return config;
    }

} // namespace

PlatformFleet::PlatformFleet(std::string router, std::filesystem::path folder, std::int64_t budget, FleetSize size)
    : program_(std::move(router))
    , folder_(std::move(folder))
    , budget_(budget)
    , size_(size)
    , store_(std::make_unique<RunningService>(std::make_unique<standin::StoreService>()))
    , links_(std::make_unique<RunningService>(std::make_unique<standins::LinkService>()))
{
    std::filesystem::create_directories(folder_);
    for (std::size_t index = 0; index < size_.modelEngines + size_.plainEngines; ++index) {
        addEngine(index);
    }
    for (std::size_t index = 0; index < size_.routers; ++index) {
        seeds_.push_back(freeAddress());
    }
    for (std::size_t index = 0; index < size_.routers; ++index) {
        addRouter(index, domainOf(index));
    }
}

void PlatformFleet::addEngine(std::size_t index)
{
    standin::EngineSettings settings;
    settings.id = "i-" + std::to_string(index);
    auto restarted = [this, index](const std::string& ended, const std::string& started) {
        ++crashes_;
        deleteEntry(ended);
        putEntry(index, started, "ready");
    };
    versions_.push_back(settings.version);
    engines_.push_back(std::make_unique<RunningService>(
        std::make_unique<standin::EngineService>(std::move(settings), std::move(restarted))));
}

std::string PlatformFleet::serviceOf(std::size_t engine) const
{
    return engine < size_.modelEngines ? "model" : "plain";
}

void PlatformFleet::addRouter(std::size_t index, const std::string& domain)
{
    Router router;
    router.callerAddress = freeAddress();
    router.readiness = freeAddress();
    router.settings = folder_ / ("router-" + std::to_string(index) + ".yaml");
    std::ofstream file(router.settings);
    file << "dialect: platform\nvm:\n  peer: " << seeds_[index] << "\n  domain: " << domain
         << "\n  region: sask-south\ncallers:\n  listen: " << router.callerAddress
         << "\n  readiness: " << router.readiness << "\nrelay:\n  listen: " << freeAddress()
         << "\noperators:\n  listen: " << freeAddress() << "\nmetrics:\n  listen: " << freeAddress()
         << "\nlog:\n  endpoints:\n    - " << store_->address() << "\npeers:\n  seeds:\n";
    for (std::size_t seed = 0; size_.seeds && seed < seeds_.size(); ++seed) {
        file << "    - " << seeds_[seed] << "\n";
    }
    file << "ledger:\n  low_watermark: 8s\n  high_watermark: 10s\n  stock: 50%\n  retention: 300s\n"
            "  batch_period: 100ms\nrouting:\n  policy: rendezvous\nretries:\n  ratio: "
         << size_.retryRatio
         << "\n  extra: 50\n"
            "  window: 10s\nstop:\n  limit: 8s\n"
         << (size_.links ? addLinks(index) : "");
    if (index == 0 && !size_.hiddenFromFirst.empty()) {
        file << "    \"" << size_.hiddenFromFirst << "\": \"" << freeAddress() << "\"\n";
    }
    file.close();
    const auto output = folder_ / ("router-" + std::to_string(index) + ".log");
    router.process = std::make_unique<scenario::Process>("router-" + std::to_string(index),
        std::vector<std::string> { program_, "--settings", router.settings.string() }, output);
    routers_.push_back(std::move(router));
}

std::string PlatformFleet::addLinks(std::size_t router)
{
    const json names = linksOf(router);
    json links = json::array();
    for (std::size_t engine = 0; engine < engines_.size(); ++engine) {
        links.push_back(
            { { "name", names[engine] }, { "listen", "127.0.0.1:0" }, { "to", engines_[engine]->address() } });
    }
    const json added = links_->control({ { "add", links } });
    std::string setting = "backends:\n  via:\n";
    for (std::size_t engine = 0; engine < engines_.size(); ++engine) {
        const auto address = added["links"][names[engine].get<std::string>()].get<std::string>();
        setting += "    \"" + engines_[engine]->address() + "\": \"" + address + "\"\n";
    }
    return setting;
}

standins::Json PlatformFleet::linksOf(std::size_t router) const
{
    json names = json::array();
    for (std::size_t engine = 0; engine < engines_.size(); ++engine) {
        names.push_back(std::to_string(router) + ">" + std::to_string(engine));
    }
    return names;
}

void PlatformFleet::cutFromEngines(std::size_t router, const std::string& mode)
{
    links_->control({ { "mode", mode } });
    links_->control({ { "cut", linksOf(router) } });
}

void PlatformFleet::healLinksToEngines(std::size_t router) { links_->control({ { "heal", linksOf(router) } }); }

bool PlatformFleet::start()
{
    begin();
    return waitForRouters();
}

void PlatformFleet::begin()
{
    for (std::size_t index = 0; index < engines_.size(); ++index) {
        registerEngine(index, "ready");
    }
    publish(budget_);
    for (const Router& router : routers_) {
        router.process->start();
    }
}

bool PlatformFleet::restartRouters()
{
    for (const Router& router : routers_) {
        router.process->kill();
    }
    for (const Router& router : routers_) {
        router.process->start();
    }
    return waitForRouters();
}

bool PlatformFleet::waitForRouters() const
{
    bool ready = true;
    for (std::size_t index = 0; index < routers_.size(); ++index) {
        const bool routerReady = waitForReadiness(index, 200);
        if (!routerReady) {
            printLastLines(*routers_[index].process);
        }
        ready = ready && routerReady;
    }
    return ready;
}

void PlatformFleet::publish(std::int64_t budget)
{
    budget_ = budget;
    version_ += 3;
    putRecord("keyed.op", "config", configOf(version_, budget, size_).dump());
}

void PlatformFleet::evacuate(const std::string& domain) { putRecord("keyed.op", "evacuate/" + domain, "{}"); }

void PlatformFleet::endEvacuation(const std::string& domain) { deleteRecord("keyed.op", "evacuate/" + domain); }

void PlatformFleet::startRouter(std::size_t router) { routers_.at(router).process->start(); }

void PlatformFleet::registerEngine(std::size_t engine, const std::string& state)
{
    putEntry(engine, "i-" + std::to_string(engine), state);
}

void PlatformFleet::setVersion(std::size_t engine, const std::string& version)
{
    versions_.at(engine) = version;
    engines_.at(engine)->control({ { "version", version } });
    registerEngine(engine, "ready");
}

void PlatformFleet::registerAs(std::size_t engine, const std::string& id, const std::string& version)
{
    versions_.at(engine) = version;
    engines_.at(engine)->control({ { "version", version }, { "id", id } });
    putEntry(engine, id, "ready");
}

void PlatformFleet::unregisterEngine(std::size_t engine) { deleteEntry("i-" + std::to_string(engine)); }

void PlatformFleet::putEntry(std::size_t engine, const std::string& id, const std::string& state)
{
    putRecord("keyed.servers", id, entryOf(engine, state).dump());
}

standins::Json PlatformFleet::entryOf(std::size_t engine, const std::string& state) const
{
    return { { "backend", serviceOf(engine) }, { "address", engines_.at(engine)->address() },
        { "zone", domainOf(engine) }, { "version", versions_.at(engine) }, { "slots", 32 }, { "state", state },
        { "warmup_left_ms", 0 }, { "sequence", 1 } };
}

void PlatformFleet::putForeignEntry(const std::string& key, const std::string& value)
{
    putForeignRecord("keyed.servers", key, value);
}

void PlatformFleet::putForeignRecord(const std::string& topic, const std::string& key, const std::string& value)
{
    constexpr std::size_t maxKeyBytes = 255;
    ASSERT_LE(key.size(), maxKeyBytes);
    const std::string record = std::string(1, static_cast<char>(key.size())) + key + value;
    std::string length;
    for (const unsigned shift : { 24U, 16U, 8U, 0U }) {
        length += static_cast<char>((record.size() >> shift) & 0xFFU);
    }
    standins::HttpClient client(endpointOf(store_->address()));
    const auto reply
        = client.call({ .body = length + record, .target = "/-/log-append?topic=" + topic + "&part=0", .headers = {} });
    ASSERT_TRUE(reply && reply->status == 200) << (reply ? reply->body : client.lastReason());
}

void PlatformFleet::deleteEntry(const std::string& id) { deleteRecord("keyed.servers", id); }

void PlatformFleet::putRecord(const std::string& topic, const std::string& key, const std::string& value)
{
    store_->control({ { "put", { { "topic", topic }, { "key", key }, { "value", value } } } });
}

void PlatformFleet::deleteRecord(const std::string& topic, const std::string& key)
{
    store_->control({ { "put", { { "topic", topic }, { "key", key } } } });
}

CallerAnswer PlatformFleet::send(std::size_t router, const CallerRequest& request) const
{
    standins::HttpClient client(endpointOf(routers_.at(router).callerAddress));
    std::map<std::string, std::string> headers { { "Host", "desk.example" }, { "Request-Id", request.id },
        { "Credential", request.key }, { "Deadline-Ms", std::to_string(request.deadlineMs) }, { "Model", "m" } };
    if (!request.tokens.empty()) {
        headers["Token-Usage"] = request.tokens;
        headers["Prefix-Hash"] = request.prefix;
    }
    if (!request.resumes.empty()) {
        headers["Resumes"] = request.resumes;
    }
    if (!request.lastEvent.empty()) {
        headers["Last-Event-Id"] = request.lastEvent;
    }
    const auto reply = client.call({ .body = request.body, .target = request.path, .headers = std::move(headers) });
    return reply ? CallerAnswer { reply->status, reply->body, true } : CallerAnswer {};
}

unsigned PlatformFleet::readiness(std::size_t router) const
{
    standins::HttpClient client(endpointOf(routers_.at(router).readiness));
    const auto reply = client.call({ .body = {}, .target = "/-/readyz", .headers = {} });
    return reply ? reply->status : 0;
}

bool PlatformFleet::waitForReadiness(std::size_t router, unsigned status) const
{
    const auto until = std::chrono::steady_clock::now() + maxWait;
    while (std::chrono::steady_clock::now() < until) {
        if (readiness(router) == status) {
            return true;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return false;
}

std::optional<std::size_t> PlatformFleet::engineOf(const std::string& id)
{
    for (std::size_t engine = 0; engine < engines_.size(); ++engine) {
        if (engines_[engine]->get()["runs"].contains(id)) {
            return engine;
        }
    }
    return std::nullopt;
}

std::uint64_t PlatformFleet::runsOf(const std::string& id) { return auditCount(id, "runs"); }
std::uint64_t PlatformFleet::eventsOf(const std::string& id) { return auditCount(id, "events"); }

bool PlatformFleet::waitForEvents(const std::string& id, std::uint64_t count)
{
    const auto until = std::chrono::steady_clock::now() + maxWait;
    while (eventsOf(id) < count && std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(pollInterval);
    }
    return eventsOf(id) >= count;
}

std::uint64_t PlatformFleet::auditCount(const std::string& id, const std::string& count)
{
    std::uint64_t sum = 0;
    for (const auto& engine : engines_) {
        const auto audit = engine->get();
        if (audit["runs"].contains(id)) {
            sum += audit["runs"][id][count].get<std::uint64_t>();
        }
    }
    return sum;
}

} // namespace swiftlift::platform::test
