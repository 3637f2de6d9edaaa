#include "World.h"

#include <algorithm>
#include <iostream>
#include <thread>

#include "Errors.h"
#include "LogLines.h"

namespace swiftlift::scenario {

World::World(std::filesystem::path programs, std::filesystem::path folder, std::uint64_t seed)
    : programs_(std::move(programs))
    , folder_(std::move(folder))
    , seed_(seed)
{
}

World::~World() = default;

Fleet& World::fleet()
{
    if (!fleet_)
        throw BrokenScript("there is no fleet yet; the script has to begin with fleet{...}");
    return *fleet_;
}

void World::build(Fields& fields)
{
    if (fleet_)
        throw BrokenScript("there is a fleet already");
    fleet_ = std::make_unique<Fleet>(planFleet(fields, findBasePort(seed_)), programs_, folder_, seed_);
    fleet_->startEnvironment();
}

std::pair<int, std::string> World::runCtl(const std::vector<std::string>& arguments)
{
    return waitForCtl(startCtl(arguments));
}

std::size_t World::startCtl(const std::vector<std::string>& arguments)
{
    std::vector<std::string> command { (programs_ / "swiftliftctl").string() };
    command.insert(command.end(), arguments.begin(), arguments.end());
    command.insert(command.end(), { "--settings", (folder_ / "ctl.yaml").string() });
    const std::string name = "ctl-" + std::to_string(ctls_.size());
    ctls_.push_back(std::make_unique<Process>(name, std::move(command), folder_ / (name + ".log")));
    ctls_.back()->start();
    return ctls_.size() - 1;
}

std::pair<int, std::string> World::waitForCtl(std::size_t handle)
{
    if (handle >= ctls_.size())
        throw BrokenScript("no such handle");
    const auto status = ctls_[handle]->waitForExit(longBound);
    if (!status)
        throw ExpectationFailed("swiftliftctl has not ended");
    return { *status, ctls_[handle]->printed() };
}

void World::kill(const std::vector<std::string>& names)
{
    KillMark mark;
    for (const auto& name : names) {
        fleet().kill(name);
        if (fleet().isRouter(name))
            mark.vms.push_back(name);
    }
    if (mark.vms.empty())
        return;
    mark.at = Clock::now();
    for (const auto& earlier : kills_) {
        const bool same = std::ranges::find_first_of(earlier.vms, mark.vms) != earlier.vms.end();
        mark.before = same ? earlier.at : mark.before;
    }
    mark.records = readWholeStream(fleet().plan().log, ledgerStream).size();
    kills_.push_back(std::move(mark));
}

std::vector<std::pair<KillMark, std::vector<BillInFlight>>> World::billsInFlight()
{
    if (kills_.empty())
        return {};
    RouterLines lines;
    for (const auto& vm : fleet().plan().vms)
        lines[vm.name] = linesOfKinds(fleet().wholeLogOf(vm.name), { "start", "bill", "ledger" });
    const auto records = readLedgerBatches(fleet().plan().log);
    std::vector<std::pair<KillMark, std::vector<BillInFlight>>> found;
    for (const auto& mark : kills_)
        found.emplace_back(mark, findBillsInFlight(mark, callers_.all(), records, lines));
    return found;
}

Evidence World::evidence()
{
    Evidence evidence;
    evidence.observations = callers_.all();
    evidence.runs = fleet().backendRuns();
    evidence.ledger = readLedgerTruth(fleet().plan().log);
    evidence.purchases = purchases;
    for (const auto& [name, service] : services) {
        evidence.callCost[name] = service.callCost;
        for (const auto& [account, budget] : service.budgets)
            evidence.budgetOf[{ name, account }] = budget;
    }
    return evidence;
}

AuditReport World::audit(Milliseconds bound)
{
    const Moment until = Clock::now() + bound;
    AuditReport report = scenario::audit(evidence());
    while (report.value("unbilled") > 0 && Clock::now() < until) {
        constexpr Milliseconds betweenLooks { 200 };
        std::this_thread::sleep_for(betweenLooks);
        report = scenario::audit(evidence());
    }
    return report;
}

} // namespace swiftlift::scenario
