// Plays one case of the review: fleetcase CASE FOLDER. Ends with 1 if the rule was broken, 0 if it held, 2 if the case
// could not run. TROUBLE=0 plays the same without the disruption.
#include <iostream>

#include "Fleet.h"

namespace {

using namespace fleetcase;

constexpr int held = 0;
constexpr int broken = 1;
constexpr int notRun = 2;

/** The fleet of the case; never destroyed, as the threads of its stand-ins use it to the process's end. */
Fleet* played = nullptr;

bool withTrouble()
{
    const char* trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

void sleepUntil(double at)
{
    if (at > now()) {
        std::this_thread::sleep_for(std::chrono::duration<double>(at - now()));
    }
}

int verdict(Fleet& fleet, bool isBroken, const std::string& text)
{
    fleet.record.write((isBroken ? "BROKEN: " : "held: ") + text);
    std::cout << (isBroken ? "BROKEN: " : "held: ") << text << std::endl;
    return isBroken ? broken : held;
}

int unable(const std::string& text)
{
    std::cout << "not run: " << text << std::endl;
    return notRun;
}

/** Starts engines, store and machines, and waits until all machines are ready. */
bool startAll(Fleet& fleet)
{
    fleet.configure();
    fleet.addMachines();
    for (Machine& machine : fleet.machines) {
        fleet.start(machine);
    }
    return fleet.waitUntilReady(20) == fleet.machines.size();
}

/** All machines lose power, and are back when the store's history has passed. */
int playHistory(const std::string& folder)
{
    const char* keep = std::getenv("KEEP_S");
    const double keepSeconds = keep == nullptr ? 20 : std::stod(keep);
    const double downSeconds = keepSeconds + 3;
    constexpr double recoverSeconds = 12;
    constexpr double judgedSeconds = 12;
    Fleet& fleet = *(played = new Fleet(folder, keepSeconds));
    for (int index = 0; index < 4; ++index) {
        const std::vector<std::string> zones { "lodz-a", "lodz-b", "wwa-1", "wwa-2" };
        fleet.addEngine("i-plan" + std::to_string(index), "lift-pool", zones[index]);
        fleet.addEngine("i-desk" + std::to_string(index), "desk-app", zones[index]);
    }
    if (!startAll(fleet)) {
        return unable("not all machines became ready");
    }
    const double begun = now();
    fleet.startClients({ "plan", "feed", "poll" }, 40);
    sleepUntil(begun + 20);
    const double lostAt = now();
    if (withTrouble()) {
        for (Machine& machine : fleet.machines) {
            ::kill(machine.process, SIGKILL);
        }
        for (Machine& machine : fleet.machines) {
            fleet.end(machine, SIGKILL);
        }
    }
    sleepUntil(lostAt + downSeconds);
    if (withTrouble()) {
        const auto [first, end] = fleet.store.offsets("ledger-0");
        fleet.record.write("store: ledger-0 has records from " + std::to_string(first) + " to " + std::to_string(end));
        for (Machine& machine : fleet.machines) {
            fleet.start(machine);
        }
    }
    const double backAt = now();
    sleepUntil(backAt + recoverSeconds + judgedSeconds);
    const auto ready = static_cast<std::size_t>(std::ranges::count_if(
        fleet.machines, [&](const Machine& machine) { return fleet.isReady(machine); }));
    fleet.record.write("platform: " + std::to_string(ready) + " machines are ready");
    fleet.stopClients();
    std::size_t before = 0;
    std::size_t servedBefore = 0;
    std::size_t after = 0;
    std::size_t servedAfter = 0;
    for (const Attempt& attempt : fleet.attempts()) {
        if (attempt.sentAt < lostAt - 1) {
            ++before;
            servedBefore += attempt.status == 200 ? 1 : 0;
        } else if (attempt.sentAt > backAt + recoverSeconds) {
            ++after;
            servedAfter += attempt.status == 200 ? 1 : 0;
        }
    }
    if (servedBefore * 4 < before || after == 0) {
        return unable("less than a quarter was served before");
    }
    return verdict(fleet, servedAfter * 4 < after,
        "served " + std::to_string(servedBefore) + " of " + std::to_string(before) + " before, "
            + std::to_string(servedAfter) + " of " + std::to_string(after) + " later than recover_s; "
            + std::to_string(ready) + " of " + std::to_string(fleet.machines.size()) + " machines ready");
}

/** The engines of a zone, most of a service's, leave at once; they never report `draining`. */
int playLeaving(const std::string& folder)
{
    constexpr double drainSeconds = 2.0;
    /** Times are taken in this process: what it may be late by. */
    constexpr double clockSlack = 0.005;
    constexpr int rounds = 12;
    Fleet& fleet = *(played = new Fleet(folder, 300));
    const auto addZone = [&](int round) {
        std::vector<Engine*> added;
        for (int index = 0; index < 4; ++index) {
            added.push_back(&fleet.addEngine(
                "i-" + std::to_string(round) + "-" + std::to_string(index), "desk-app", "lodz-a"));
        }
        return added;
    };
    for (int index = 0; index < 18; ++index) {
        const std::vector<std::string> zones { "lodz-a", "lodz-b", "wwa-1", "wwa-2" };
        fleet.addEngine("i-plan" + std::to_string(index), "lift-pool", zones[index % 4]);
    }
    fleet.addEngine("i-other", "desk-app", "wwa-1");
    std::vector<Engine*> zone = addZone(0);
    if (!startAll(fleet)) {
        return unable("not all machines became ready");
    }
    fleet.startClients({ "poll" }, 250);
    std::this_thread::sleep_for(std::chrono::seconds(4));
    std::size_t late = 0;
    std::size_t lateRounds = 0;
    double latest = 0;
    for (int round = 1; round <= rounds; ++round) {
        std::map<Engine*, double> removed;
        if (withTrouble()) {
            for (Engine* engine : zone) {
                removed[engine] = engine->removeEntry();
            }
        }
        std::this_thread::sleep_for(Milliseconds(4000));
        std::size_t lateNow = 0;
        for (const auto& [engine, at] : removed) {
            engine->leave();
            for (const Run& run : engine->runs()) {
                if (run.at > at + drainSeconds + clockSlack) {
                    ++lateNow;
                    latest = std::max(latest, run.at - at);
                    fleet.record.write("late: " + run.id + " reached " + engine->id() + " "
                        + std::to_string(run.at - at) + " s after its entry was removed");
                }
            }
        }
        late += lateNow;
        lateRounds += lateNow > 0 ? 1 : 0;
        if (withTrouble()) {
            zone = addZone(round);
        }
        std::this_thread::sleep_for(Milliseconds(3000));
    }
    fleet.stopClients();
    const auto attempts = fleet.attempts();
    const auto served = std::ranges::count_if(attempts, [](const Attempt& attempt) { return attempt.status == 200; });
    if (served * 2 < static_cast<std::ptrdiff_t>(attempts.size())) {
        return unable("most requests were not served");
    }
    return verdict(fleet, late > 0,
        std::to_string(late) + " requests reached an engine later than drain_ms after its entry was removed, in "
            + std::to_string(lateRounds) + " of " + std::to_string(rounds) + " rounds, the latest after "
            + std::to_string(latest) + " s; " + std::to_string(served) + " of " + std::to_string(attempts.size())
            + " requests served");
}

/** Bodies hold the text of another request; without trouble, they are sent in chunks as the pages say. */
int playSmuggled(const std::string& folder)
{
    Fleet& fleet = *(played = new Fleet(folder, 300));
    for (const char* zone : { "lodz-a", "lodz-b", "wwa-1", "wwa-2" }) {
        fleet.addEngine(std::string("i-") + zone, "desk-app", zone);
    }
    if (!startAll(fleet)) {
        return unable("not all machines became ready");
    }
    std::size_t smuggled = 0;
    std::size_t changed = 0;
    std::size_t served = 0;
    std::vector<std::string> codings { "chunked, identity", "identity", "gzip", "chunked, chunked" };
    if (!withTrouble()) {
        codings.assign(codings.size(), "chunked");
    }
    std::map<std::string, std::string> bodies;
    std::set<std::string> inner;
    for (const std::string& coding : codings) {
        for (const Machine& machine : fleet.machines) {
            const std::string innerId = fleet.newId();
            const std::string outerId = fleet.newId();
            const std::string text
                = Fleet::headOf("POST", "/feed/inner", innerId) + "Content-Length: 0\r\n\r\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", text.size());
            const std::string sent = coding == "chunked" ? size + text + "\r\n0\r\n\r\n" : text;
            bodies[outerId] = text;
            inner.insert(innerId);
            const auto connection = Connection::open({ machine.ip, Fleet::frontendPort });
            const bool isSent = connection
                && connection->write(Fleet::headOf("POST", "/feed/outer", outerId) + "Transfer-Encoding: " + coding
                    + "\r\n\r\n" + sent);
            Message answer;
            const bool answered = isSent && connection->read(answer, Clock::now() + std::chrono::seconds(2));
            served += answered && answer.word(1) == "200" ? 1 : 0;
            Message second;
            const bool more = answered && connection->read(second, Clock::now() + Milliseconds(500));
            fleet.record.write("client: " + outerId + " to " + machine.name + ", Transfer-Encoding: " + coding
                + ", body with the text of " + innerId + "; answer " + answer.word(1)
                + (more ? ", second answer " + second.word(1) + " for " + second.header("request-id") : ""));
        }
    }
    std::this_thread::sleep_for(std::chrono::seconds(1));
    for (const auto& engine : fleet.engines) {
        for (const Run& run : engine->runs()) {
            smuggled += inner.contains(run.id) ? 1 : 0;
            const auto body = bodies.find(run.id);
            changed += body != bodies.end() && body->second != run.body ? 1 : 0;
        }
    }
    if (!withTrouble() && served < bodies.size()) {
        return unable("not all requests were served");
    }
    return verdict(fleet, smuggled + changed > 0,
        "of " + std::to_string(bodies.size()) + " requests, engines ran " + std::to_string(changed)
            + " with another body, and " + std::to_string(smuggled) + " that were smuggled inside them");
}

} // namespace

int main(int count, char** words)
{
    const std::map<std::string, int (*)(const std::string&)> cases { { "history", playHistory },
        { "leaving", playLeaving }, { "smuggled", playSmuggled } };
    if (count != 3 || !cases.contains(words[1])) {
        std::cerr << "fleetcase CASE FOLDER, in the repository's root\n";
        return notRun;
    }
    ::signal(SIGPIPE, SIG_IGN);
    int result = notRun;
    try {
        result = cases.at(words[1])(words[2]);
    } catch (const std::exception& error) {
        std::cout << "not run: " << error.what() << std::endl;
    }
    if (played != nullptr) {
        played->close();
    }
    std::cout.flush();
    // Threads of stand-ins still wait on their sockets.
    ::_exit(result);
}
