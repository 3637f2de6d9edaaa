// Some backend servers crash, a few at a time, and are back; later all routers are killed and started again.
#include "World.h"

using namespace review;

namespace {

constexpr int routers = 3;
constexpr int engineCount = 12;
/** Each `srv_crash` takes a quarter of the servers that run, as in the site file. */
constexpr double crashedShare = 0.25;
constexpr int crashes = 3;
constexpr auto betweenCrashes = 250ms;
constexpr auto crashedTime = 2000ms;
/** From the first request to the first crash: sooner than the first stream ends. */
constexpr auto beforeCrashes = 600ms;
/** Traffic after the crashes and before the final fault, and how long processes are down in that (`kill_all`). */
constexpr auto betweenFaults = 16s;
constexpr auto downTime = 1200ms;
/** `recover_s` of the sheets is 12; so much later the requests are counted. */
constexpr auto recoverTime = 12s;
constexpr auto countedTime = 10s;
constexpr auto betweenRequests = 15ms;
/** A stream lasts about as long as one of the kind of request `cell-brief`. */
constexpr int events = 55;
constexpr auto firstEventTime = 100ms;
constexpr auto betweenEvents = 25ms;
constexpr auto beat = 1200ms;
/** The platform removes an entry after three heartbeats of silence. */
constexpr auto silenceOfGone = 3600ms;

/** A model server that can crash: its connections end, its port is closed, and it comes back as another instance. */
class CrashingEngine {
public:
    CrashingEngine(Store& store, Record& record, std::string name, std::string zone)
        : store_(store)
        , record_(record)
        , name_(std::move(name))
        , zone_(std::move(zone))
    {
        start();
        std::thread([this] {
            for (;;) {
                std::this_thread::sleep_for(beat);
                const std::lock_guard lock(mutex_);
                if (runs_) {
                    writeEntry();
                }
            }
        }).detach();
    }

    bool runs() const { return runs_; }

    void start()
    {
        const std::lock_guard lock(mutex_);
        id_ = name_ + "-" + std::to_string(++instance_);
        sequence_ = 0;
        listener_ = listenOn(port_);
        if (listener_ < 0) {
            finish(record_, 2, "a port of a server is taken");
        }
        runs_ = true;
        std::thread([this, listener = listener_, id = id_] {
            for (;;) {
                const int accepted = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0) {
                    return;
                }
                std::thread([this, id, stream = std::make_shared<Stream>(accepted)] { serve(*stream, id); }).detach();
            }
        }).detach();
        writeEntry();
    }

    void crash()
    {
        const std::lock_guard lock(mutex_);
        record_.line(id_ + " crashes");
        runs_ = false;
        // The thread that accepts ends before the number can be used again.
        ::shutdown(listener_, SHUT_RDWR);
        std::this_thread::sleep_for(5ms);
        ::close(listener_);
        for (const int connection : connections_) {
            ::shutdown(connection, SHUT_RDWR);
        }
        std::thread([this, id = id_] {
            std::this_thread::sleep_for(silenceOfGone);
            store_.put("keyed.servers", id, "");
        }).detach();
    }

private:
    void writeEntry()
    {
        store_.put("keyed.servers", id_,
            json({ { "backend", "lift-pool" }, { "address", at(port_) }, { "zone", zone_ }, { "version", "v1" },
                     { "slots", 32 }, { "state", "ready" }, { "warmup_left_ms", 0 }, { "sequence", ++sequence_ } })
                .dump());
    }

    void serve(Stream& stream, const std::string& id)
    {
        {
            const std::lock_guard lock(mutex_);
            if (!runs_ || id != id_) {
                return;
            }
            connections_.insert(stream.fd());
        }
        while (const auto request = readMessage(stream, 60s)) {
            if (!request->whole || !answer(stream, *request, id)) {
                break;
            }
        }
        const std::lock_guard lock(mutex_);
        connections_.erase(stream.fd());
        stream.close();
    }

    bool answer(Stream& stream, const Message& request, const std::string& id)
    {
        const std::string caller = request.field("Request-Id");
        record_.line(id + " gets " + request.start + "  Request-Id " + caller);
        if (request.has("Expect-Instance") && request.field("Expect-Instance") != id) {
            return stream.send(reply(421, "Misdirected Request", "", { { "Instance-Id", id } }));
        }
        std::this_thread::sleep_for(firstEventTime);
        std::string bytes = "HTTP/1.1 200 OK\r\nRequest-Id: " + caller + "\r\nServer-Stamp: " + id
            + ".1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        for (int event = 1; event <= events; ++event) {
            const std::string text = "id: " + std::to_string(event) + "\ndata: of " + caller + "\n\n";
            char size[32];
            std::snprintf(size, sizeof size, "%zx\r\n", text.size());
            if (!stream.send(bytes + size + text + "\r\n")) {
                return false;
            }
            bytes.clear();
            std::this_thread::sleep_for(betweenEvents);
        }
        return stream.send("0\r\n\r\n");
    }

    Store& store_;
    Record& record_;
    std::string name_;
    std::string zone_;
    std::string id_;
    int instance_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint16_t port_ = 0;
    int listener_ = -1;
    std::atomic<bool> runs_ = false;
    std::set<int> connections_;
    std::mutex mutex_;
};

/** Each request has a first part that all share; its last part and its body are its own. */
std::string headOf(const std::string& id, int number)
{
    char part[16];
    std::snprintf(part, sizeof part, "%08x", 0x91000000 + number);
    const std::string body = json({ { "prompt", id } }).dump();
    return "POST /stitch-plan/x HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id
        + "\r\nModel: m\r\nToken-Usage: 1210,385\r\nPrefix-Hash: 5c1e07a2:800," + part
        + ":410\r\nDeadline-Ms: 12000\r\nCredential: key-one\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** Sends requests at a steady rate, to the routers in turn, and counts the whole answers with status 200. */
class Clients {
public:
    Clients(Record& record, const std::vector<std::unique_ptr<Router>>& fleet)
        : record_(record)
        , fleet_(fleet)
    {
    }

    /** @return Requests that were served, and all that were sent, in this time. */
    std::pair<int, int> send(Clock::duration time, const std::function<void()>& each = [] {})
    {
        std::vector<std::thread> threads;
        std::atomic<int> served = 0;
        int sent = 0;
        auto next = Clock::now();
        for (const auto until = next + time; next < until; next += betweenRequests) {
            std::this_thread::sleep_until(next);
            each();
            threads.emplace_back([this, &served, number = number_++] { served += ask(number) ? 1 : 0; });
            ++sent;
        }
        for (std::thread& thread : threads) {
            thread.join();
        }
        return { served, sent };
    }

private:
    bool ask(int number)
    {
        const std::string id = "r-" + std::to_string(number);
        const auto stream = Stream::connect(fleet_[static_cast<std::size_t>(number % routers)]->callers());
        if (!stream || !stream->send(headOf(id, number))) {
            record_.line("no connection for " + id);
            return false;
        }
        const auto answer = readMessage(*stream, 12s, true);
        if (!answer) {
            record_.line("client gets no answer for " + id);
            return false;
        }
        const bool good = answer->status() == 200 && answer->whole;
        record_.line("client gets " + answer->start + " for " + id + (answer->whole ? "" : ", cut in the midst")
            + (answer->has("Retry-After") ? ", Retry-After " + answer->field("Retry-After") : "")
            + (answer->status() == 200 ? "" : "  " + answer->body.substr(0, answer->body.find('\n'))));
        return good;
    }

    Record& record_;
    const std::vector<std::unique_ptr<Router>>& fleet_;
    int number_ = 0;
};

std::string shareOf(const std::pair<int, int>& served)
{
    return std::to_string(served.first) + " of " + std::to_string(served.second);
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 4) {
        return 2;
    }
    Record record(argv[3]);
    const bool trouble = troubleWanted();
    Store store;
    std::vector<std::unique_ptr<CrashingEngine>> engines;
    for (int index = 0; index < engineCount; ++index) {
        engines.push_back(std::make_unique<CrashingEngine>(
            store, record, "i-" + std::to_string(index), index % 2 == 0 ? "regina-a" : "regina-b"));
    }
    store.put("keyed.op", "config",
        configOf(1, { { "stitch-plan", "streaming", "lift-pool", false, 1, 12000 } }, 1'000'000'000).dump());
    std::vector<std::uint16_t> peers;
    for (int index = 0; index < routers; ++index) {
        peers.push_back(freePort());
    }
    std::vector<std::unique_ptr<Router>> fleet;
    for (int index = 0; index < routers; ++index) {
        fleet.push_back(std::make_unique<Router>(argv[1], argv[2], "router-" + std::to_string(index),
            index == 2 ? "regina-b" : "regina-a", store.port(), peers[static_cast<std::size_t>(index)], peers));
        fleet.back()->start();
    }
    const auto waitForAll = [&] {
        for (const auto& router : fleet) {
            if (!router->waitReady()) {
                finish(record, 2, "a router did not become ready");
            }
        }
    };
    waitForAll();

    Clients clients(record, fleet);
    const auto begin = Clock::now();
    int done = 0;
    std::vector<std::pair<Clock::time_point, CrashingEngine*>> down;
    const auto crashWhenDue = [&] {
        if (done < crashes && Clock::now() >= begin + beforeCrashes + done * betweenCrashes) {
            ++done;
            std::vector<CrashingEngine*> running;
            for (const auto& engine : engines) {
                if (engine->runs()) {
                    running.push_back(engine.get());
                }
            }
            const auto count = static_cast<std::size_t>(crashedShare * static_cast<double>(running.size()));
            for (std::size_t index = 0; index < count; ++index) {
                running[index]->crash();
                down.emplace_back(Clock::now() + crashedTime, running[index]);
            }
        }
        std::erase_if(down, [](const auto& entry) {
            const bool isDue = Clock::now() >= entry.first;
            if (isDue) {
                entry.second->start();
            }
            return isDue;
        });
    };
    const auto before = clients.send(betweenFaults, [&] {
        if (trouble) {
            crashWhenDue();
        }
    });
    const auto last = clients.send(4s);
    if (last.first * 4 < last.second || before.first * 4 < before.second) {
        finish(record, 2, "too few requests were served before: " + shareOf(before) + ", " + shareOf(last));
    }
    for (const auto& router : fleet) {
        router->kill();
    }
    record.line("all routers are killed");
    std::this_thread::sleep_for(downTime);
    for (const auto& router : fleet) {
        router->start();
    }
    record.line("all routers are started again");
    waitForAll();
    std::this_thread::sleep_for(recoverTime);
    const auto after = clients.send(countedTime);
    finish(record, after.first * 4 < after.second ? 1 : 0,
        "served before: " + shareOf(before) + ", just before the final fault: " + shareOf(last)
            + "; later than 12 s after the routers are back: " + shareOf(after));
}
