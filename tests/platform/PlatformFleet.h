#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Process.h"
#include "platform/standin/EngineService.h"
#include "platform/standin/StoreService.h"
#include "test/RunningService.h"

namespace swiftlift::platform::test {

/** An answer that a caller received. */
struct CallerAnswer {
    /** HTTP status; 0: the connection ended without an answer. */
    unsigned status = 0;
    std::string body;
    /** Whether the answer is complete. */
    bool whole = false;
};

/** A request of a caller. */
struct CallerRequest {
    std::string path = "/plain/x";
    std::string id = "r1";
    std::string key = "key-one";
    /** Value of the header Token-Usage, `IN,OUT`; empty: the request has no token counts. */
    std::string tokens {};
    std::uint64_t deadlineMs = 5000;
    std::string body = "{}";
    /** Parts of the prompt, with `tokens`. */
    std::string prefix = "5c1e07a2:8,e4402b7d:4";
    /** Id of the attempt that began the stream, and of the last event received; empty: the request begins anew. */
    std::string resumes {};
    std::string lastEvent {};
};

/** Number of routers and engines. Each kind is distributed over the failure domains in turn. */
struct FleetSize {
    std::size_t routers = 2;
    std::size_t modelEngines = 2;
    std::size_t plainEngines = 2;
    /** Each router reaches each engine through a link of its own, which can be cut. */
    bool links = false;
    /** Time limit of each route. */
    std::uint64_t routeTimeoutMs = 5000;
    /** Maximum number of engines that may run a request. */
    std::uint64_t maxAttempts = 2;
    /** Retries of the fleet per request. */
    double retryRatio = 0.2;
    /** Whether the routers' settings name the routers as seeds. */
    bool seeds = true;
    /** Maximum size of a request's body. */
    std::uint64_t maxBodyBytes = 65536;
    /** Address that the first router can't connect to, beside its links; only with `links`; empty: there is none. */
    std::string hiddenFromFirst {};
};

/**
 * @brief Router processes with the platform's dialect on loopback, with stand-ins for the platform's store and engines.
 *
 * By default, there are two failure domains with one VM each, and the services `model` and `plain` with one engine per
 * failure domain each. The only account is `club` with the key `key-one`.
 */
class PlatformFleet {
public:
    /**
     * @param router Path of the router program.
     * @param folder Folder for settings and logs.
     * @param budget Total tokens of the account.
     * @param size Number of routers and engines.
     */
    PlatformFleet(std::string router, std::filesystem::path folder, std::int64_t budget, FleetSize size = {});

    /** Publishes the configuration, starts the routers and waits for them. @return Whether all became ready. */
    [[nodiscard]] bool start();
    /** Publishes the configuration and starts the routers, without waiting for them. */
    void begin();
    /** Kills all routers, starts them again and waits for them. @return Whether all became ready. */
    [[nodiscard]] bool restartRouters();

    [[nodiscard]] CallerAnswer send(std::size_t router, const CallerRequest& request) const;
    /** @return HTTP status of the router's readiness check; 0: no answer. */
    [[nodiscard]] unsigned readiness(std::size_t router) const;
    [[nodiscard]] bool waitForReadiness(std::size_t router, unsigned status) const;

    /** Publishes the configuration with a higher version and this total of the account's tokens. */
    void publish(std::int64_t budget);
    /** Requests the evacuation of a failure domain, as the platform's operators do. */
    void evacuate(const std::string& domain);
    /** Takes the evacuation back. */
    void endEvacuation(const std::string& domain);
    /** Starts the router's process, which must have ended. */
    void startRouter(std::size_t router);
    /** Writes an engine's entry to the store, as the engine itself does on the platform. */
    void registerEngine(std::size_t engine, const std::string& state);
    /** Makes the engine one of this software version, and writes its entry. */
    void setVersion(std::size_t engine, const std::string& version);
    /** Deletes an engine's entry from the store. */
    void unregisterEngine(std::size_t engine);
    /** Deletes the entry with this id, as registerAs() wrote it. */
    void unregisterId(const std::string& id) { deleteEntry(id); }
    /** Appends a record to the engines' entries, as another writer may: any bytes as key and as value. */
    void putForeignEntry(const std::string& key, const std::string& value);
    /** Appends a record to a keyed topic, as another writer may: any bytes as key and as value. */
    void putForeignRecord(const std::string& topic, const std::string& key, const std::string& value);
    /** @return The entry that the engine writes. */
    [[nodiscard]] standins::Json entryOf(std::size_t engine, const std::string& state) const;
    /** The engine starts again as another instance with this id, of this software version. */
    void registerAs(std::size_t engine, const std::string& id, const std::string& version);

    /**
     * @brief Cuts the router's links to all engines; only with FleetSize::links.
     * @param mode What becomes of the connections, as in standins::LinkService.
     */
    void cutFromEngines(std::size_t router, const std::string& mode);
    void healLinksToEngines(std::size_t router);

    [[nodiscard]] standins::RunningService& store() noexcept { return *store_; }
    /** @param index The engines of the model service come first, then those of the plain service. */
    [[nodiscard]] standins::RunningService& engine(std::size_t index) { return *engines_.at(index); }
    [[nodiscard]] std::size_t engines() const noexcept { return engines_.size(); }
    /** @return Number of crashes of all engines. */
    [[nodiscard]] std::uint64_t crashes() const noexcept { return crashes_.load(); }
    [[nodiscard]] std::size_t routers() const noexcept { return routers_.size(); }
    [[nodiscard]] scenario::Process& router(std::size_t index) { return *routers_.at(index).process; }
    [[nodiscard]] std::string addressOf(std::size_t router) const { return routers_.at(router).callerAddress; }
    [[nodiscard]] const std::filesystem::path& settingsOf(std::size_t router) const
    {
        return routers_.at(router).settings;
    }
    /** @return The first engine that started the request with this id; nullopt: none did. */
    [[nodiscard]] std::optional<std::size_t> engineOf(const std::string& id);
    [[nodiscard]] const std::string& versionOf(std::size_t engine) const { return versions_.at(engine); }
    /** @return How often the engines started the request with this id. */
    [[nodiscard]] std::uint64_t runsOf(const std::string& id);
    /** @return Number of events that the engines sent for the request with this id. */
    [[nodiscard]] std::uint64_t eventsOf(const std::string& id);
    /** Waits until the engines sent this many events for the request. @return Whether they did in time. */
    [[nodiscard]] bool waitForEvents(const std::string& id, std::uint64_t count);

private:
    struct Router {
        std::string callerAddress;
        std::string readiness;
        std::filesystem::path settings;
        std::unique_ptr<scenario::Process> process;
    };

    /** @return Sum of a count, such as `runs`, of the request in the audits of all engines. */
    [[nodiscard]] std::uint64_t auditCount(const std::string& id, const std::string& count);
    void addRouter(std::size_t index, const std::string& domain);
    void addEngine(std::size_t index);
    [[nodiscard]] bool waitForRouters() const;
    /** Adds links from the router to all engines. @return The setting that makes the router use them. */
    [[nodiscard]] std::string addLinks(std::size_t router);
    /** @return Names of the router's links to engines. */
    [[nodiscard]] standins::Json linksOf(std::size_t router) const;
    void putEntry(std::size_t engine, const std::string& id, const std::string& state);
    void deleteEntry(const std::string& id);
    void putRecord(const std::string& topic, const std::string& key, const std::string& value);
    void deleteRecord(const std::string& topic, const std::string& key);
    [[nodiscard]] std::string serviceOf(std::size_t engine) const;

    std::string program_;
    std::filesystem::path folder_;
    std::int64_t budget_;
    FleetSize size_;
    std::atomic<std::uint64_t> crashes_ = 0;
    std::uint64_t version_ = 0;
    std::unique_ptr<standins::RunningService> store_;
    std::vector<std::unique_ptr<standins::RunningService>> engines_;
    /** Software version of each engine. */
    std::vector<std::string> versions_;
    std::unique_ptr<standins::RunningService> links_;
    std::vector<Router> routers_;
    std::vector<std::string> seeds_;
};

} // namespace swiftlift::platform::test
