// A small deployment: routers as the deploy file starts them, beside the stand-ins of the platform.
#pragma once

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <random>
#include <sys/wait.h>

#include "Platform.h"

namespace fleetcase {

/** A machine with one router, at an address of its own. */
struct Machine {
    std::string name;
    std::string zone;
    std::string ip;
    pid_t process = -1;
};

/** An answer as a client got it; status 0: none. */
struct Answer {
    int status = 0;
    std::string body;
};

/** What a client sent, and what became of it. */
struct Attempt {
    std::string id;
    std::string kind;
    double sentAt = 0;
    int status = 0;
};

class Fleet {
public:
    static constexpr std::uint16_t frontendPort = 8227;
    static constexpr std::uint16_t readyPort = 8220;
    static constexpr std::uint16_t controlPort = 8229;

    /** @param folder Folder of the case, for its record. */
    Fleet(const std::string& folder, double keepSeconds)
        : record(folder + "/record.txt")
        , network_("127." + std::to_string(32 + ::getpid() / 250 % 128) + "." + std::to_string(::getpid() % 250) + ".")
        , store(network_ + "100", keepSeconds)
        , keepSeconds_(keepSeconds)
    {
        char pattern[] = "/tmp/fleetcase-XXXXXX";
        temporary_ = ::mkdtemp(pattern);
    }
    /** Ends all routers and removes the temporary folder. The threads of the stand-ins end with this process. */
    void close()
    {
        for (Machine& machine : machines) {
            end(machine, SIGKILL);
        }
        std::error_code ignored;
        std::filesystem::remove_all(temporary_, ignored);
    }
    ~Fleet() = delete;
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;

    Engine& addEngine(const std::string& id, const std::string& service, const std::string& zone)
    {
        engines.push_back(std::make_unique<Engine>(id, service, zone, network_ + "101", store, record));
        return *engines.back();
    }

    /** Writes the operator's configuration: `plan` streams, `feed` unsafe and `poll` safe requests. */
    void configure()
    {
        const auto route = [](const std::string& name, const std::string& type, const std::string& service,
                               int attempts, int timeout) {
            return Json { { "name", name }, { "hostname", "desk.example" }, { "path_prefix", "/" + name + "/" },
                { "type", type }, { "backend", service }, { "max_attempts", attempts }, { "timeout_ms", timeout },
                { "target_latency_ms", 300 }, { "priority", 0 }, { "public", false },
                { "sticky", type == "streaming" }, { "resumable", false }, { "gap_aim_ms", 300 } };
        };
        Json config { { "version", 3 },
            { "routes",
                { route("plan", "streaming", "lift-pool", 1, 12000), route("feed", "unsafe", "desk-app", 1, 1200),
                    route("poll", "safe", "desk-app", 2, 1200) } },
            { "backends",
                { { { "name", "lift-pool" }, { "engine", { { "slots", 32 }, { "stride", 7 } } } },
                    { { "name", "desk-app" } } } },
            { "tenants",
                { { { "name", "hule930" }, { "api_keys", { "n2ctnfzs989anu6wsjnb" } }, { "priority", 1 },
                    { "reserved", 4000000 } } } },
            { "limits",
                { { "max_header_bytes", 16384 }, { "max_body_bytes", 4194304 }, { "header_timeout_ms", 3000 },
                    { "idle_timeout_ms", 15000 } } } };
        store.put("keyed.op", "config", config.dump());
        record.write("operator: configuration 3 written");
    }

    /** Six machines in four zones. */
    void addMachines()
    {
        const std::vector<std::string> zones { "lodz-a", "lodz-a", "lodz-b", "lodz-b", "wwa-1", "wwa-2" };
        for (std::size_t index = 0; index < zones.size(); ++index) {
            machines.push_back({ "edge-" + std::to_string(index + 1), zones[index],
                network_ + std::to_string(index + 1) });
        }
    }

    void start(Machine& machine)
    {
        Json fields { { "node_name", machine.name }, { "ip", machine.ip }, { "zone", machine.zone },
            { "region", "pl-central" },
            { "listen",
                { { "frontend", machine.ip + ":" + std::to_string(frontendPort) },
                    { "ready", machine.ip + ":" + std::to_string(readyPort) },
                    { "control", machine.ip + ":" + std::to_string(controlPort) } } },
            { "port_range", { 7340, 7355 } },
            { "limits",
                { { "cpu_quota", 0.25 }, { "cpus", 1 }, { "memory_mb", 260 }, { "max_fds", 4200 },
                    { "bandwidth_mbps", 1000.0 } } },
            { "bounds",
                { { "retry_budget_ratio", 0.2 }, { "retry_budget_extra", 52 }, { "budget_window_s", 10 },
                    { "grace_s", 8 } } },
            { "platform",
                { { "address", store.address().text() }, { "writes_per_s", 600 }, { "reads_per_s", 2000 },
                    { "keep_s", static_cast<int>(keepSeconds_) } } } };
        fields["seeds"] = Json::array();
        for (std::size_t index = 0; index < 3; ++index) {
            fields["seeds"].push_back(machines[index].ip + ":" + std::to_string(controlPort));
        }
        std::ifstream templateFile("platform/router.yaml.tmpl");
        std::stringstream text;
        text << templateFile.rdbuf();
        const std::string settings = temporary_ + "/" + machine.name + ".yaml";
        std::ofstream(settings) << Template::fill(text.str(), fields);
        const std::string log = temporary_ + "/" + machine.name + ".log";
        machine.process = ::fork();
        if (machine.process == 0) {
            const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(output, 1);
            ::dup2(output, 2);
            ::execl("target/bin/swiftlift-router", "target/bin/swiftlift-router", "--settings", settings.c_str(),
                nullptr);
            ::_exit(127);
        }
        record.write("platform: " + machine.name + " started");
    }

    /** @return Whether the process ended within the time. */
    bool end(Machine& machine, int signal, double seconds = 9)
    {
        if (machine.process <= 0) {
            return true;
        }
        ::kill(machine.process, signal);
        record.write("platform: " + machine.name + " gets signal " + std::to_string(signal));
        for (const double until = now() + seconds; now() < until; std::this_thread::sleep_for(Milliseconds(10))) {
            if (::waitpid(machine.process, nullptr, WNOHANG) == machine.process) {
                machine.process = -1;
                return true;
            }
        }
        return false;
    }

    bool isReady(const Machine& machine)
    {
        const auto connection = Connection::open({ machine.ip, readyPort });
        Message answer;
        return connection && connection->write("GET /-/readyz HTTP/1.1\r\nHost: " + machine.ip + "\r\n\r\n")
            && connection->read(answer, Clock::now() + std::chrono::seconds(1)) && answer.word(1) == "200";
    }

    /** @return Number of machines that are ready, once all are or the time is over. */
    std::size_t waitUntilReady(double seconds)
    {
        const double until = now() + seconds;
        for (;;) {
            const auto ready = static_cast<std::size_t>(
                std::ranges::count_if(machines, [this](const Machine& machine) { return isReady(machine); }));
            if (ready == machines.size() || now() >= until) {
                return ready;
            }
            std::this_thread::sleep_for(Milliseconds(100));
        }
    }

    std::string newId()
    {
        char text[20];
        std::snprintf(text, sizeof text, "%08x%08x", static_cast<unsigned>(::getpid()),
            static_cast<unsigned>(++lastId_));
        return text;
    }

    /** @return The head of a request, without the fields that tell the body's length, and without the empty line. */
    static std::string headOf(const std::string& method, const std::string& path, const std::string& id)
    {
        std::string head = method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id
            + "\r\nDeadline-Ms: 5000\r\nCredential: n2ctnfzs989anu6wsjnb\r\n";
        if (path.starts_with("/plan/")) {
            head += "Model: m\r\nToken-Usage: 120,70\r\nPrefix-Hash: 5c1e07a2:80,91bd3f06:40\r\n";
        }
        return head;
    }

    /** Sends a request on a new connection. */
    Answer send(const Machine& machine, const std::string& bytes, double seconds = 6)
    {
        const auto connection = Connection::open({ machine.ip, frontendPort });
        Message answer;
        const auto limit = Clock::now() + Milliseconds(static_cast<int>(seconds * 1000));
        if (!connection || !connection->write(bytes) || !connection->read(answer, limit)) {
            return {};
        }
        return { std::stoi(answer.word(1)), answer.body };
    }

    /** Clients of all machines send requests of these kinds in turn, until stopClients(). */
    void startClients(std::vector<std::string> kinds, double perSecond)
    {
        clients_ = std::thread([this, kinds = std::move(kinds), perSecond] {
            std::mt19937 random(1);
            std::vector<std::thread> running;
            for (std::size_t count = 0; !stopped_; ++count) {
                const std::string kind = kinds[count % kinds.size()];
                const Machine& machine = machines[random() % machines.size()];
                running.emplace_back([this, kind, &machine] { sendOne(kind, machine); });
                if (running.size() > 200) {
                    running.front().join();
                    running.erase(running.begin());
                }
                std::this_thread::sleep_for(Milliseconds(static_cast<int>(1000 / perSecond)));
            }
            for (std::thread& thread : running) {
                thread.join();
            }
        });
    }
    void stopClients()
    {
        stopped_ = true;
        clients_.join();
    }
    [[nodiscard]] std::vector<Attempt> attempts()
    {
        const std::lock_guard lock(mutex_);
        return attempts_;
    }

    Record record;

private:
    void sendOne(const std::string& kind, const Machine& machine)
    {
        const bool poll = kind == "poll";
        const std::string body = poll ? "" : "{\"order\":1}";
        Attempt attempt { newId(), kind, now(), 0 };
        std::string bytes = headOf(poll ? "GET" : "POST", "/" + kind + "/x", attempt.id);
        bytes += poll ? "\r\n" : "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        const Answer answer = send(machine, bytes);
        attempt.status = answer.status;
        record.write("client: " + kind + " " + attempt.id + " to " + machine.name + " sent at "
            + std::to_string(attempt.sentAt) + ", answer " + std::to_string(attempt.status) + " "
            + (answer.status == 200 ? "" : answer.body.substr(0, answer.body.find('\n'))));
        const std::lock_guard lock(mutex_);
        attempts_.push_back(attempt);
    }

    std::string network_;

public:
    Store store;
    std::vector<std::unique_ptr<Engine>> engines;
    std::vector<Machine> machines;

private:
    double keepSeconds_;
    std::string temporary_;
    std::atomic<unsigned> lastId_ = 0;
    std::mutex mutex_;
    std::vector<Attempt> attempts_;
    std::atomic<bool> stopped_ = false;
    std::thread clients_;
};

} // namespace fleetcase
