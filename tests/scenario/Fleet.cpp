#include "Fleet.h"

#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>

#include "Errors.h"

namespace swiftlift::scenario {

namespace internal {

    constexpr const char* modelName = "stitch-7b";

    void writeFile(const std::filesystem::path& path, const std::string& text)
    {
        std::ofstream file(path);
        file << text;
        if (!file.flush())
            throw BrokenScript("cannot write " + path.string());
    }

    void addRuns(std::map<std::string, std::vector<BackendRun>>& runs, const std::string& backend, const Json& audit)
    {
        for (const auto& [key, record] : audit.at("keys").items()) {
            const auto started = record.value("started", std::int64_t { 0 });
            const auto completed = record.value("completed", std::int64_t { 0 });
            runs[key].push_back({ backend, started, completed });
        }
    }

} // namespace internal

Fleet::Fleet(FleetPlan plan, std::filesystem::path programs, std::filesystem::path folder, std::uint64_t seed)
    : plan_(std::move(plan))
    , programs_(std::move(programs))
    , folder_(std::move(folder))
    , seed_(seed)
{
    addMembers();
}

Fleet::~Fleet() = default;

void Fleet::addMember(const std::string& name, std::vector<std::string> command, Address address, bool isBackend)
{
    command.front() = (programs_ / command.front()).string();
    Member member;
    member.process = std::make_unique<Process>(name, std::move(command), folder_ / (name + ".log"));
    member.address = std::move(address);
    member.isBackend = isBackend;
    members_[name] = std::move(member);
    order_.push_back(name);
}

void Fleet::addMembers()
{
    std::vector<std::string> log { "standin-log", "--listen", plan_.log.text(), "--seed", std::to_string(seed_) };
    if (plan_.appendsPerSecond > 0)
        log.insert(log.end(), { "--appends-per-second", std::to_string(plan_.appendsPerSecond) });
    if (plan_.retention > 0)
        log.insert(log.end(), { "--retain-records", std::to_string(plan_.retention) });
    addMember("log", std::move(log), plan_.log, false);
    addMember("vm-list", { "standin-vmlist", "--listen", plan_.vmList.text() }, plan_.vmList, false);
    addMember("link", { "standin-link", "--listen", plan_.linkControl.text() }, plan_.linkControl, false);
    addBackends();
    for (std::size_t index = 0; index < plan_.vms.size(); ++index)
        addRouter(plan_.vms[index], index);
    internal::writeFile(folder_ / "ctl.yaml", ctlSettings(plan_));
}

void Fleet::addBackends()
{
    for (const auto& engine : plan_.engines) {
        std::vector<std::string> command { "standin-engine", "--listen", engine.address.text(), "--step-ms",
            std::to_string(plan_.stepMs), "--models", internal::modelName };
        if (plan_.capacity > 0)
            command.insert(command.end(), { "--max-batch", std::to_string(plan_.capacity) });
        for (const auto& [name, value] : plan_.engineOptions)
            command.insert(command.end(), { "--" + name, value });
        addMember(engine.name, std::move(command), engine.address, true);
    }
    for (const auto& plain : plan_.plains)
        addMember(plain.name, { "standin-plain", "--listen", plain.address.text() }, plain.address, true);
}

void Fleet::addRouter(const VmPlan& vm, std::size_t index)
{
    const auto settings = folder_ / (vm.name + ".yaml");
    internal::writeFile(settings, routerSettings(plan_, vm, seed_ + index));
    addMember(vm.name, { "swiftlift-router", "--settings", settings.string() }, vm.operators, false);
    members_[vm.name].isRouter = true;
}

void Fleet::startEnvironment()
{
    for (const auto& name : order_) {
        if (!member(name).isRouter)
            start(name);
    }
    configureLinks();
    configureVmList();
}

void Fleet::start(const std::string& name)
{
    Member& started = member(name);
    started.process->start();
    if (started.isRouter)
        waitUntilRouterServes(name, started);
    else if (!started.process->waitForLine("listening ", longBound))
        throw BrokenScript(name + " does not listen: " + started.process->printed());
}

void Fleet::waitUntilRouterServes(const std::string& name, Member& member) const
{
    const Moment until = Clock::now() + longBound;
    while (Clock::now() < until) {
        if (!member.process->running())
            throw ExpectationFailed(name + " ended at its start: " + member.process->printed());
        if (exchange({ member.address, "GET", "/status", {}, {} }, Milliseconds(2000)).ok())
            return;
        std::this_thread::sleep_for(lookAgain);
    }
    throw ExpectationFailed(name + " does not answer its operators");
}

int Fleet::stop(const std::string& name, Milliseconds bound)
{
    Member& stopped = member(name);
    saveRuns(name, stopped);
    stopped.process->signal(SIGTERM);
    const auto status = stopped.process->waitForExit(bound);
    if (!status)
        throw ExpectationFailed(name + " has not ended after SIGTERM");
    return *status;
}

void Fleet::kill(const std::string& name)
{
    Member& killed = member(name);
    saveRuns(name, killed);
    killed.process->kill();
}

void Fleet::freeze(const std::string& name) { member(name).process->signal(SIGSTOP); }

void Fleet::thaw(const std::string& name) { member(name).process->signal(SIGCONT); }

bool Fleet::running(const std::string& name) { return member(name).process->running(); }

std::vector<std::string> Fleet::resolve(const std::string& name) const
{
    std::vector<std::string> names;
    if (members_.contains(name))
        names.push_back(name);
    for (const auto& vm : plan_.vms) {
        if (vm.domain == name || name == "routers")
            names.push_back(vm.name);
    }
    if (names.empty())
        throw BrokenScript("nothing is called " + name);
    return names;
}

Json Fleet::control(const std::string& name, const Json& change)
{
    const HttpReply reply = exchange({ member(name).address, "POST", "/control", {}, change.dump() }, longBound);
    if (!reply.ok())
        throw BrokenScript(name + " refuses " + change.dump() + ": " + reply.body + reply.error);
    return Json::parse(reply.body, nullptr, false);
}

Json Fleet::auditOf(const std::string& name)
{
    const HttpReply reply = exchange({ member(name).address, "GET", "/audit", {}, {} }, longBound);
    Json audit = Json::parse(reply.body, nullptr, false);
    if (!reply.ok() || !audit.is_object())
        throw BrokenScript(name + " gives no audit: " + reply.error);
    return audit;
}

void Fleet::saveRuns(const std::string& name, Member& ended)
{
    if (ended.isBackend && ended.process->running())
        internal::addRuns(savedRuns_, name, auditOf(name));
}

std::map<std::string, std::vector<BackendRun>> Fleet::backendRuns()
{
    auto runs = savedRuns_;
    for (const auto& [name, member] : members_) {
        if (member.isBackend && member.process->running())
            internal::addRuns(runs, name, auditOf(name));
    }
    return runs;
}

const VmPlan& Fleet::vm(const std::string& name) const
{
    for (const auto& vm : plan_.vms) {
        if (vm.name == name)
            return vm;
    }
    throw BrokenScript("no VM is called " + name);
}

Fleet::Member& Fleet::member(const std::string& name)
{
    const auto found = members_.find(name);
    if (found == members_.end())
        throw BrokenScript("nothing is called " + name);
    return found->second;
}

std::string Fleet::printedBy(const std::string& name) { return member(name).process->printed(); }

std::string Fleet::wholeLogOf(const std::string& name) const
{
    std::ifstream file(folder_ / (name + ".log"));
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string Fleet::lastLogLines(std::size_t count) const
{
    std::ostringstream text;
    for (const auto& vm : plan_.vms) {
        text << "--- " << vm.name << '\n';
        for (const auto& line : lastLines(folder_ / (vm.name + ".log"), count))
            text << line << '\n';
    }
    return text.str();
}

} // namespace swiftlift::scenario
