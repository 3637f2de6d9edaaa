// Case: an answer without a length, which is reset on its way from the engine, looks complete when it came through
// another router.
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <set>

#include "../standins/Routers.h"
#include "../standins/Store.h"

using namespace review;

namespace {

constexpr milliseconds beatPeriod { 1200 };
constexpr milliseconds workTime { 40 };
constexpr std::size_t bodyBytes = 800;
constexpr int rounds = 8;
/** A further round, with and without trouble, in which no engine crashes and the engine next to router 0 breaks off. */
constexpr int directRounds = 1;
/** Requests of one round. */
constexpr unsigned callers = 8;
/** Requests of the further round: the engine breaks off under 1 in 20 of its answers. */
constexpr unsigned directCallers = 3;
/** How long an engine that has crashed is down. */
constexpr milliseconds downTime { 2000 };
/** Time from its last heartbeat until a crashed engine's entry is removed: three heartbeats. */
constexpr milliseconds expiryTime { 3600 };
/** How long engines break off answers in a round. */
constexpr milliseconds garbleTime { 250 };

std::string config()
{
    return R"({"version":7,"routes":[{"name":"records","hostname":"alerts.example","path_prefix":"/records/",)"
           R"("type":"safe","timeout_ms":2500,"target_latency_ms":150,"priority":1,"backend":"alert-api",)"
           R"("max_attempts":2,"public":false,"sticky":false}],)"
           R"("backends":[{"name":"alert-api"}],)"
           R"("limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":5000,"idle_timeout_ms":15000},)"
           R"("tenants":[{"name":"dispatch","api_keys":["key-one"],"priority":1,"reserved":1000000}]})";
}

/** What the stand-ins and the callers have seen. */
struct Record {
    std::mutex mutex;
    /** Answers of each engine, and those that it broke off. */
    std::map<std::string, int> answers;
    std::map<std::string, int> cut;
};

/** An engine whose answers have no length and end with their connection. It can crash, and break off answers. */
class UnframedEngine {
public:
    UnframedEngine(Store& store, Record& record, std::string name, std::string zone)
        : store_(store)
        , record_(record)
        , name_(std::move(name))
        , zone_(std::move(zone))
    {
        start();
        std::thread([this] {
            for (;;) {
                if (up_) {
                    beat();
                }
                std::this_thread::sleep_for(beatPeriod);
            }
        }).detach();
    }

    /** Its process ends: connections are closed, new ones are refused, and nobody writes its entry. */
    void crash()
    {
        up_ = false;
        const std::lock_guard lock(mutex_);
        ::shutdown(listener_, SHUT_RDWR);
        ::close(listener_);
        for (const int descriptor : open_) {
            ::shutdown(descriptor, SHUT_RDWR);
        }
    }

    /** A new instance at the same address. The entry of the former one expires. */
    void restart()
    {
        std::thread([this, former = id_] {
            std::this_thread::sleep_for(expiryTime - downTime);
            store_.put("keyed.servers", former, "");
        }).detach();
        start();
        beat();
    }

    void breakOff(bool breaks) { breaks_ = breaks; }

private:
    void start()
    {
        id_ = "i-" + name_ + "-" + std::to_string(++instances_);
        listener_ = listenOn("127.0.0.1", port_);
        up_ = true;
        std::thread([this, listener = listener_] {
            for (;;) {
                const int accepted = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0) {
                    return;
                }
                std::thread([this, accepted] { serve(accepted); }).detach();
            }
        }).detach();
    }

    void beat()
    {
        store_.put("keyed.servers", id_,
            "{\"backend\":\"alert-api\",\"address\":\"127.0.0.1:" + std::to_string(port_) + "\",\"zone\":\"" + zone_
                + "\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"warmup_left_ms\":0,\"sequence\":"
                + std::to_string(++sequence_) + "}");
    }

    void serve(int descriptor)
    {
        {
            const std::lock_guard lock(mutex_);
            open_.insert(descriptor);
        }
        Connection connection(descriptor);
        answer(connection);
        const std::lock_guard lock(mutex_);
        open_.erase(descriptor);
    }

    void answer(Connection& connection)
    {
        const auto request = connection.readMessage(milliseconds(30'000));
        if (!request) {
            return;
        }
        const std::string id = request->field("request-id");
        const std::string fields = "Request-Id: " + id + "\r\nServer-Stamp: " + id_ + "." + id + "\r\n";
        if (request->field("expect-instance") != id_) {
            connection.write(
                answerText("421 Misdirected Request", "Request-Id: " + id + "\r\nInstance-Id: " + id_ + "\r\n", ""));
            return;
        }
        std::this_thread::sleep_for(workTime);
        // Requests of the callers of router 0 begin with this number; others are answered whole.
        const bool cut = breaks_ && id.rfind("9c41d07b00", 0) == 0;
        {
            const std::lock_guard lock(record_.mutex);
            ++record_.answers[name_];
            if (cut) {
                ++record_.cut[name_];
            }
        }
        const std::string body(cut ? bodyBytes / 2 : bodyBytes, 'r');
        connection.write(
            "HTTP/1.1 200 OK\r\n" + fields + "Content-Type: text/plain\r\nConnection: close\r\n\r\n" + body);
        if (cut) {
            // The bytes arrive, and then the connection is reset.
            std::this_thread::sleep_for(milliseconds(20));
            const linger resets { 1, 0 };
            setsockopt(connection.descriptor(), SOL_SOCKET, SO_LINGER, &resets, sizeof resets);
        }
    }

    Store& store_;
    Record& record_;
    std::string name_;
    std::string zone_;
    std::string id_;
    int instances_ = 0;
    std::uint16_t port_ = 0;
    int listener_ = -1;
    std::uint64_t sequence_ = 0;
    std::atomic<bool> up_ = false;
    std::atomic<bool> breaks_ = false;
    std::mutex mutex_;
    std::set<int> open_;
};

struct Outcome {
    std::string id;
    int status = 0;
    std::size_t bytes = 0;
    /** The answer is complete by its framing. */
    bool complete = false;
};

Outcome request(const Router& router, unsigned number)
{
    char id[32];
    std::snprintf(id, sizeof id, "9c41d07b%08x", number);
    Outcome outcome;
    outcome.id = id;
    const int descriptor = connectTo(router.ip, router.frontend);
    if (descriptor < 0) {
        return outcome;
    }
    Connection connection(descriptor);
    connection.write("GET /records/x HTTP/1.1\r\nHost: alerts.example\r\nRequest-Id: " + outcome.id
        + "\r\nCredential: key-one\r\nDeadline-Ms: 2500\r\n\r\n");
    if (const auto answer = connection.readMessage(milliseconds(3000))) {
        outcome.status = answer->status();
        outcome.bytes = answer->body.size();
        outcome.complete = !answer->field("content-length").empty() || !answer->field("transfer-encoding").empty();
    }
    return outcome;
}

int run(int argc, char** argv)
{
    if (argc != 4) {
        return 2;
    }
    const std::filesystem::path repository = argv[1];
    const std::filesystem::path folder = argv[2];
    const char* text = std::getenv("TROUBLE");
    const bool trouble = text == nullptr || std::string(text) != "0";
    std::FILE* file = std::fopen(argv[3], "w");
    if (file == nullptr) {
        return 2;
    }
    // The threads of the stand-ins use them until the process ends.
    Store& store = *new Store(std::chrono::seconds(300));
    Record& record = *new Record;
    std::vector<UnframedEngine*> engines;
    for (const char* zone : { "lodz-a", "lodz-b", "wwa-1", "wwa-2" }) {
        engines.push_back(new UnframedEngine(store, record, std::to_string(engines.size() + 1), zone));
    }
    store.put("keyed.op", "config", config());
    Routers routers(repository, folder, store.address(), { "lodz-a", "lodz-b", "wwa-1", "wwa-2" }, "300");
    for (Router& router : routers.all()) {
        routers.start(router);
    }
    if (!routers.waitUntilReady(milliseconds(30'000))) {
        std::fprintf(file, "the routers did not become ready\n");
        std::fclose(file);
        return 2;
    }
    std::this_thread::sleep_for(milliseconds(3000));
    // Other callers use the other routers all the time.
    std::atomic<bool> stopped = false;
    std::vector<std::thread> others;
    for (unsigned number = 1; number < 10; ++number) {
        others.emplace_back([&, number] {
            for (unsigned count = 0; !stopped; ++count) {
                request(routers.at(1 + number % 3), number * 0x1000000U + count);
                std::this_thread::sleep_for(milliseconds(60));
            }
        });
    }
    const auto begun = Clock::now();
    std::vector<Outcome> outcomes;
    for (int round = 0; round < rounds + directRounds; ++round) {
        const bool direct = round >= rounds;
        const bool crashes = trouble && !direct;
        UnframedEngine& crashing = *engines[round % 2 == 0 ? 0 : 2];
        const auto roundBegun = Clock::now();
        if (crashes) {
            crashing.crash();
        }
        UnframedEngine& first = *engines[direct ? 0 : 1];
        UnframedEngine& second = *engines[3];
        first.breakOff(true);
        second.breakOff(true);
        std::vector<Outcome> answers(direct ? directCallers : callers);
        std::vector<std::thread> threads;
        for (unsigned number = 0; number < answers.size(); ++number) {
            threads.emplace_back([&, number] {
                answers[number] = request(routers.at(0), static_cast<unsigned>(round) * 0x100U + number);
            });
        }
        std::this_thread::sleep_for(garbleTime);
        first.breakOff(false);
        second.breakOff(false);
        for (std::thread& thread : threads) {
            thread.join();
        }
        outcomes.insert(outcomes.end(), answers.begin(), answers.end());
        std::this_thread::sleep_until(roundBegun + downTime);
        if (crashes) {
            crashing.restart();
        }
        std::this_thread::sleep_for(milliseconds(2500));
        std::fprintf(file, "%6ld ms  round %d ends\n",
            static_cast<long>(std::chrono::duration_cast<milliseconds>(Clock::now() - begun).count()), round + 1);
    }
    stopped = true;
    for (std::thread& thread : others) {
        thread.join();
    }
    int wrong = 0;
    std::map<int, int> statuses;
    for (const Outcome& outcome : outcomes) {
        ++statuses[outcome.status];
        if (outcome.status == 200 && outcome.complete && outcome.bytes != bodyBytes) {
            ++wrong;
            std::fprintf(file, "request %s: 200, framed as complete with %zu of %zu bytes\n", outcome.id.c_str(),
                outcome.bytes, bodyBytes);
        }
    }
    std::fprintf(file, "answers at router 0 by status:");
    for (const auto& [status, count] : statuses) {
        std::fprintf(file, " %d: %d", status, count);
    }
    std::fprintf(file, "\n");
    for (const auto& [engine, count] : record.answers) {
        std::fprintf(file, "engine %s answered %d requests and broke off %d of the answers\n", engine.c_str(), count,
            record.cut[engine]);
    }
    std::fprintf(file, "%d of %zu answers at router 0 look complete and are not: MIXED %s\n", wrong, outcomes.size(),
        wrong > 0 ? "broken" : "held");
    std::fclose(file);
    return wrong > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char** argv) { std::_Exit(run(argc, argv)); }
