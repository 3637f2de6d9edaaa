#pragma once

#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "Auditor.h"
#include "FleetPlan.h"
#include "Process.h"

namespace swiftlift::scenario {

/**
 * @brief The processes of a run: platform, links, backend servers and routers. All end with this object.
 */
class Fleet {
public:
    /**
     * @param plan Who is there.
     * @param programs Folder of the programs.
     * @param folder Takes settings and logs.
     * @param seed Of the run.
     */
    Fleet(FleetPlan plan, std::filesystem::path programs, std::filesystem::path folder, std::uint64_t seed);
    ~Fleet();

    /** Starts everything but the routers. */
    void startEnvironment();

    /** Starts one process anew and waits until it serves. */
    void start(const std::string& name);
    /** Sends SIGTERM and waits for the end. @return The exit status. */
    int stop(const std::string& name, Milliseconds bound);
    void kill(const std::string& name);
    void freeze(const std::string& name);
    void thaw(const std::string& name);
    [[nodiscard]] bool running(const std::string& name);
    [[nodiscard]] bool isRouter(const std::string& name) { return member(name).isRouter; }

    /** @return Names of the processes that `name` means: a process, a domain's routers, or `routers`. */
    [[nodiscard]] std::vector<std::string> resolve(const std::string& name) const;

    /** Cuts every link between the two sides, both ways; a side is a VM, a domain, `log`, `vm-list` or `platform`. */
    void cut(const std::string& one, const std::string& other);
    void heal(const std::string& one, const std::string& other);
    /** Bytes from one side to the other are lost; those the other way pass. */
    void cutOneWay(const std::string& from, const std::string& to);
    /** Each byte between the two sides takes so much longer. */
    void delay(const std::string& one, const std::string& other, double milliseconds);

    /** Has the platform's list show a VM as leaving, or as live again. */
    void listAsLeaving(const std::string& vm, bool leaving);

    /** Changes a stand-in's behaviour by `POST /control`. */
    Json control(const std::string& name, const Json& change);
    /** @return A stand-in's `GET /audit`. */
    [[nodiscard]] Json auditOf(const std::string& name);
    /** @return What all backend servers recorded of each key, those that have ended included. */
    [[nodiscard]] std::map<std::string, std::vector<BackendRun>> backendRuns();

    [[nodiscard]] const VmPlan& vm(const std::string& name) const;
    [[nodiscard]] const FleetPlan& plan() const noexcept { return plan_; }
    [[nodiscard]] const std::filesystem::path& folder() const noexcept { return folder_; }
    [[nodiscard]] const std::filesystem::path& programs() const noexcept { return programs_; }
    /** @return Everything that a member has printed since its start; a router prints its log. */
    [[nodiscard]] std::string printedBy(const std::string& name);
    /** @return Everything that all processes of that name have printed. */
    [[nodiscard]] std::string wholeLogOf(const std::string& name) const;
    /** @return The last lines of each router's log, for a failed run. */
    [[nodiscard]] std::string lastLogLines(std::size_t count) const;

private:
    struct Member {
        std::unique_ptr<Process> process;
        /** Where `/control` and `/audit` are, or a router's operators' pages. */
        Address address;
        bool isRouter = false;
        bool isBackend = false;
    };

    void addMembers();
    void addMember(const std::string& name, std::vector<std::string> command, Address address, bool isBackend);
    void addRouter(const VmPlan& vm, std::size_t index);
    void addBackends();
    void configureLinks();
    /** @return Names of the links by which `from` connects to `to`. */
    [[nodiscard]] Json linksFrom(const std::string& from, const std::string& to) const;
    /** @return Names of the links between the two sides; throws when there are none. */
    [[nodiscard]] Json linksBetween(const std::string& one, const std::string& other) const;
    void configureVmList();
    void waitUntilRouterServes(const std::string& name, Member& member) const;
    void saveRuns(const std::string& name, Member& member);
    [[nodiscard]] Member& member(const std::string& name);

    FleetPlan plan_;
    std::filesystem::path programs_;
    std::filesystem::path folder_;
    std::uint64_t seed_;
    std::map<std::string, Member> members_;
    std::vector<std::string> order_;
    std::set<std::string> leaving_;
    /** What backend servers that have ended had recorded. */
    std::map<std::string, std::vector<BackendRun>> savedRuns_;
};

} // namespace swiftlift::scenario
