#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "Process.h"
#include "platform/standin/EngineService.h"
#include "platform/standin/StoreService.h"
#include "test/RunningService.h"

namespace swiftlift::platform::test {

/** An answer as a caller gets it. */
struct CallerAnswer {
    /** 0: the connection ended without one. */
    unsigned status = 0;
    std::string body;
    /** The answer came whole. */
    bool whole = false;
};

/** A request of a caller. */
struct CallerRequest {
    std::string path = "/plain/x";
    std::string id = "r1";
    std::string key = "key-one";
    /** `IN,OUT`; empty: the request counts no tokens. */
    std::string tokens {};
    std::uint64_t deadlineMs = 5000;
    std::string body = "{}";
};

/** How many there are of each; they take turns in the failure domains. */
struct FleetSize {
    std::size_t routers = 2;
    std::size_t modelEngines = 2;
    std::size_t plainEngines = 2;
};

/**
 * @brief Real routers in the platform's dialect on loopback, with stand-ins for its store and its engines.
 *
 * Unless told otherwise, two failure domains with one VM each; a model service with an engine in each domain and a
 * plain service with one in each; one account `club` with the key `key-one`.
 */
class PlatformFleet {
public:
    /** @param router Path of the router program. @param folder Takes settings and logs. @param budget Of the account.
     */
    PlatformFleet(std::string router, std::filesystem::path folder, std::int64_t budget, FleetSize size = {});

    /** Starts the routers, publishes the configuration and waits until all say that they are ready. */
    [[nodiscard]] bool start();
    /** Kills all routers, starts them again and waits as start() does. */
    [[nodiscard]] bool restartRouters();

    [[nodiscard]] CallerAnswer send(std::size_t router, const CallerRequest& request) const;
    /** @return Status of the answer to the question whether the router is ready; 0: no answer. */
    [[nodiscard]] unsigned readiness(std::size_t router) const;
    [[nodiscard]] bool waitForReadiness(std::size_t router, unsigned status) const;

    /** Publishes the configuration with the next version and this total of the account's tokens. */
    void publish(std::int64_t budget);
    /** Writes an engine's entry, as the engine would. */
    void registerEngine(std::size_t engine, const std::string& state);
    /** Ends an engine's entry. */
    void unregisterEngine(std::size_t engine);

    [[nodiscard]] standins::RunningService& store() noexcept { return *store_; }
    /** Those of the model service come first. */
    [[nodiscard]] standins::RunningService& engine(std::size_t index) { return *engines_.at(index); }
    [[nodiscard]] std::size_t engines() const noexcept { return engines_.size(); }
    /** @return How many lives of engines have ended in a crash, all engines together. */
    [[nodiscard]] std::uint64_t crashes() const noexcept { return crashes_.load(); }
    [[nodiscard]] std::size_t routers() const noexcept { return routers_.size(); }
    [[nodiscard]] scenario::Process& router(std::size_t index) { return *routers_.at(index).process; }
    [[nodiscard]] std::string addressOf(std::size_t router) const { return routers_.at(router).callers; }
    [[nodiscard]] const std::filesystem::path& settingsOf(std::size_t router) const
    {
        return routers_.at(router).settings;
    }
    /** @return How often engines started the request. */
    [[nodiscard]] std::uint64_t runsOf(const std::string& id);
    /** @return Events that engines made for the request. */
    [[nodiscard]] std::uint64_t eventsOf(const std::string& id);

private:
    struct Router {
        std::string callers;
        std::string readiness;
        std::filesystem::path settings;
        std::unique_ptr<scenario::Process> process;
    };

    /** @return Sum over the engines of what their audits count of the request. */
    [[nodiscard]] std::uint64_t auditedOf(const std::string& id, const std::string& count);
    void addRouter(std::size_t index, const std::string& domain);
    void addEngine(std::size_t index);
    [[nodiscard]] bool startRouters();
    void putEntry(std::size_t engine, const std::string& id, const std::string& state);
    void dropEntry(const std::string& id);
    [[nodiscard]] std::string serviceOf(std::size_t engine) const;

    std::string program_;
    std::filesystem::path folder_;
    std::int64_t budget_;
    FleetSize size_;
    std::atomic<std::uint64_t> crashes_ = 0;
    std::uint64_t version_ = 0;
    std::unique_ptr<standins::RunningService> store_;
    std::vector<std::unique_ptr<standins::RunningService>> engines_;
    std::vector<Router> routers_;
    std::vector<std::string> seeds_;
};

} // namespace swiftlift::platform::test
