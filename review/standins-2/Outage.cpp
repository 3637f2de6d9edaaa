// All machines are cut off from the store for longer than it keeps records, and all processes are killed meanwhile.
#include "World.h"

using namespace review;

namespace {

/** `platform.keep_s` of the settings; the sheets: "20 s of history". */
constexpr int keepSeconds = 20;
constexpr auto longCut = 26s;
/** From the beginning of the cut to the end of all processes, and until they are started again (`kill_all`). */
constexpr auto beforeKill = 10s;
constexpr auto downTime = 1200ms;
/** `recover_s` of the sheets is 12; so much later the requests are counted. */
constexpr auto recoverTime = 12s;
constexpr auto countedTime = 15s;
constexpr int routers = 3;

std::string headOf(const std::string& path, const std::string& id)
{
    return "POST " + path + " HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id
        + "\r\nModel: m\r\nToken-Usage: 200,35\r\nPrefix-Hash: 5c1e07a2:80,91bd3f06:120\r\nDeadline-Ms: 2000\r\n"
          "Credential: key-one\r\nContent-Length: 2\r\n\r\n{}";
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 4) {
        return 2;
    }
    Record record(argv[3]);
    const bool trouble = troubleWanted();
    // CUT: as above. DOWN: all processes are killed and down for as long. TERM: the same, stopped as in planned work.
    const std::string mode = argc > 4 ? argv[4] : "CUT";
    const int signal = mode == "TERM" ? SIGTERM : SIGKILL;
    Store store { std::chrono::seconds(keepSeconds) };
    std::vector<std::unique_ptr<Engine>> engines;
    for (int index = 0; index < 2; ++index) {
        const std::string id = "i-" + std::to_string(index);
        engines.push_back(std::make_unique<Engine>(store, record, id, "lift-pool", index == 0 ? "regina-a" : "regina-b",
            [id](Stream& stream, const Message& request) { return answerStream(stream, request, id); }));
    }
    Proxy proxy(store.port());
    store.put("keyed.op", "config", configOf(1, { { "order-tag", "streaming", "lift-pool" } }, 100'000'000).dump());
    std::vector<std::uint16_t> peers;
    for (int index = 0; index < routers; ++index) {
        peers.push_back(freePort());
    }
    std::vector<std::unique_ptr<Router>> fleet;
    for (int index = 0; index < routers; ++index) {
        fleet.push_back(std::make_unique<Router>(argv[1], argv[2], "router-" + std::to_string(index),
            index == 2 ? "regina-b" : "regina-a", proxy.port(), peers[static_cast<std::size_t>(index)], peers, keepSeconds));
        fleet.back()->start();
    }
    for (const auto& router : fleet) {
        if (!router->waitReady()) {
            finish(record, 2, "a router did not become ready");
        }
    }

    int sent = 0;
    const auto sendAll = [&](Clock::duration time) {
        std::map<int, int> statuses;
        for (const auto until = Clock::now() + time; Clock::now() < until;) {
            const Router& router = *fleet[static_cast<std::size_t>(sent % routers)];
            const std::string id = "r-" + std::to_string(sent++);
            const auto stream = Stream::connect(router.callers());
            int status = 0;
            if (stream && stream->send(headOf("/order-tag/x", id))) {
                if (const auto answer = readMessage(*stream, 3s, true)) {
                    status = answer->whole ? answer->status() : 0;
                    record.line("client gets " + answer->start + " for " + id + "  " + (status == 200 ? "" : answer->body));
                }
            }
            ++statuses[status];
            std::this_thread::sleep_for(20ms);
        }
        return statuses;
    };
    const auto served = [](const std::map<int, int>& statuses) {
        int all = 0;
        for (const auto& [status, count] : statuses) {
            all += count;
        }
        const auto good = statuses.find(200);
        return std::pair(good == statuses.end() ? 0 : good->second, all);
    };

    const auto [before, beforeAll] = served(sendAll(6s));
    if (before * 4 < beforeAll) {
        finish(record, 2, "too few requests were served before");
    }
    const auto killAll = [&] {
        record.line("all routers get signal " + std::to_string(signal));
        for (const auto& router : fleet) {
            router->signal(signal);
        }
        for (const auto& router : fleet) {
            while (router->runs()) {
                std::this_thread::sleep_for(10ms);
            }
        }
    };
    const auto startAll = [&] {
        for (const auto& router : fleet) {
            router->start();
        }
        record.line("all routers are started again");
    };
    if (trouble && mode == "CUT") {
        record.line("all machines are cut off from the store");
        proxy.cut();
        std::this_thread::sleep_for(beforeKill);
        killAll();
        std::this_thread::sleep_for(downTime);
        startAll();
        std::this_thread::sleep_for(longCut - beforeKill - downTime);
        proxy.heal();
        record.line("the cut has ended");
    } else if (trouble) {
        killAll();
        std::this_thread::sleep_for(longCut);
        startAll();
    }
    std::this_thread::sleep_for(recoverTime);
    for (const auto& router : fleet) {
        record.line("readiness " + std::to_string(router->readiness()));
    }
    const auto [after, afterAll] = served(sendAll(countedTime));
    finish(record, after * 4 < afterAll ? 1 : 0,
        "served before: " + std::to_string(before) + " of " + std::to_string(beforeAll) + "; later than 12 s after the routers are back: "
            + std::to_string(after) + " of " + std::to_string(afterAll));
}
