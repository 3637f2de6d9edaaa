// All machines leave in planned work, and new ones are added: the platform has no machine to name as a seed.
#include "World.h"

#include <sstream>

using namespace review;

namespace {

constexpr int oldMachines = 3;
constexpr int newMachines = 2;
/** Ends by itself on each of two machines from which on the rule calls it a fault. */
constexpr int endsOfFault = 3;
/** Pause after which the platform starts a process again that has ended. */
constexpr auto restartPause = 500ms;
/** Time for which the new machines are watched, and that after which the platform names them as seeds. */
constexpr auto watched = 20s;
constexpr auto seedsLate = 4s;

struct Machine {
    std::unique_ptr<Router> router;
    int ends = 0;
    Clock::time_point startAt {};
};

/** Writes the settings anew with these seeds, as the platform does at each start. */
void fillSeeds(const Router& router, const std::vector<std::uint16_t>& seeds)
{
    std::ifstream in(router.settings());
    std::stringstream text;
    bool skips = false;
    for (std::string line; std::getline(in, line);) {
        skips = skips && line.starts_with("    - ");
        if (!skips) {
            text << line << "\n";
        }
        if (line == "  seeds:") {
            skips = true;
            for (const std::uint16_t seed : seeds) {
                text << "    - " << at(seed) << "\n";
            }
        }
    }
    std::ofstream(router.settings()) << text.str();
}

std::string lastLineOf(const std::string& path)
{
    std::ifstream in(path);
    std::string last;
    for (std::string line; std::getline(in, line);) {
        last = line.empty() ? last : line;
    }
    // Without the temporary folder, in which the settings stand beside the log.
    const std::string folder = path.substr(0, path.rfind('/') + 1);
    if (last.starts_with(folder)) {
        last.erase(0, folder.size());
    }
    return last.substr(0, 160);
}

int statusOf(const Router& router, const std::string& id)
{
    const auto stream = Stream::connect(router.callers());
    if (!stream
        || !stream->send("GET /proof-preview/x HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id
            + "\r\nDeadline-Ms: 1500\r\nCredential: key-one\r\n\r\n")) {
        return 0;
    }
    const auto answer = readMessage(*stream, 2s, true);
    return answer ? answer->status() : 0;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 4) {
        return 2;
    }
    Record record(argv[3]);
    const bool trouble = troubleWanted();
    const std::vector<std::string> zones { "regina-a", "regina-b", "moose-jaw" };
    Store store;
    std::vector<std::unique_ptr<Engine>> engines;
    for (int index = 0; index < 2; ++index) {
        const std::string id = "i-" + std::to_string(index);
        engines.push_back(std::make_unique<Engine>(store, record, id, "desk-app", zones[index],
            [id](Stream& stream, const Message& request) { return answerPlain(stream, request, id); }));
    }
    store.put("keyed.op", "config", configOf(1, { { "proof-preview", "safe", "desk-app" } }, 1'000'000).dump());

    std::vector<std::uint16_t> peers;
    for (int index = 0; index < oldMachines + newMachines; ++index) {
        peers.push_back(freePort());
    }
    const std::vector<std::uint16_t> oldPeers(peers.begin(), peers.begin() + oldMachines);
    const std::vector<std::uint16_t> newPeers(peers.begin() + oldMachines, peers.end());
    std::vector<std::unique_ptr<Router>> old;
    for (int index = 0; index < oldMachines; ++index) {
        old.push_back(std::make_unique<Router>(
            argv[1], argv[2], "old-" + std::to_string(index), zones[index], store.port(), peers[index], oldPeers));
        old.back()->start();
    }
    for (const auto& router : old) {
        if (!router->waitReady()) {
            finish(record, 2, "a router of the first start did not become ready");
        }
    }
    for (int index = 0; index < oldMachines; ++index) {
        const int status = statusOf(*old[index], "first-" + std::to_string(index));
        record.line("client gets " + std::to_string(status) + " from old-" + std::to_string(index));
        if (status != 200) {
            finish(record, 2, "a router of the first start does not serve");
        }
    }

    // Planned work: the machines get SIGTERM in turn, and leave.
    if (trouble) {
        for (int index = 0; index < oldMachines; ++index) {
            record.line("platform sends SIGTERM to old-" + std::to_string(index));
            old[index]->signal(SIGTERM);
            std::this_thread::sleep_for(1s);
        }
        const auto until = Clock::now() + 9s;
        for (const auto& router : old) {
            while (router->runs() && Clock::now() < until) {
                std::this_thread::sleep_for(20ms);
            }
            router->kill();
        }
        record.line("platform: all machines of the first start have left");
        std::this_thread::sleep_for(3500ms);
    }

    std::vector<Machine> added(newMachines);
    const auto begun = Clock::now();
    for (int index = 0; index < newMachines; ++index) {
        added[index].router = std::make_unique<Router>(argv[1], argv[2], "new-" + std::to_string(index), zones[index],
            store.port(), newPeers[index], trouble ? std::vector<std::uint16_t> {} : oldPeers);
        added[index].router->start();
        record.line("platform starts new-" + std::to_string(index) + (trouble ? " with no seeds" : " with seeds"));
    }
    int asked = 0;
    int served = 0;
    int ready = 0;
    while (Clock::now() - begun < watched) {
        std::this_thread::sleep_for(100ms);
        ready = 0;
        for (int index = 0; index < newMachines; ++index) {
            Machine& machine = added[index];
            const std::string name = "new-" + std::to_string(index);
            if (machine.startAt == Clock::time_point {} && !machine.router->runs()) {
                ++machine.ends;
                machine.startAt = Clock::now() + restartPause;
                const int status = machine.router->status();
                record.line(name + " has ended by itself, code " + std::to_string(WIFEXITED(status) ? WEXITSTATUS(status) : -1)
                    + ": " + lastLineOf(machine.router->log()));
            }
            if (machine.startAt != Clock::time_point {} && Clock::now() >= machine.startAt) {
                const bool seeded = !trouble || Clock::now() - begun >= seedsLate;
                fillSeeds(*machine.router, !trouble ? oldPeers : seeded ? newPeers : std::vector<std::uint16_t> {});
                machine.startAt = {};
                machine.router->start();
                record.line("platform starts " + name + (seeded ? " with seeds" : " with no seeds") + " again");
            }
            ready += machine.router->pid() > 0 && machine.router->readiness() == 200 ? 1 : 0;
            const int status = statusOf(*machine.router, "later-" + std::to_string(asked));
            ++asked;
            served += status == 200 ? 1 : 0;
            record.line("client gets " + std::to_string(status) + " from " + name);
        }
    }
    int faulty = 0;
    std::string counts;
    for (const Machine& machine : added) {
        faulty += machine.ends >= endsOfFault ? 1 : 0;
        counts += (counts.empty() ? "" : " and ") + std::to_string(machine.ends);
    }
    if (!trouble && ready < newMachines) {
        finish(record, 2, "the added machines did not become ready");
    }
    finish(record, faulty >= 2 ? 1 : 0,
        "the added machines ended by themselves " + counts + " times; " + std::to_string(served) + " of "
            + std::to_string(asked) + " requests to them served; " + std::to_string(ready) + " of "
            + std::to_string(newMachines) + " ready at the end");
}
