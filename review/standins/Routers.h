#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <vector>

#include "Http.h"

namespace review {

/** Values for the placeholders of the settings template, by name; a list has several. */
using Values = std::map<std::string, std::vector<std::string>>;

/** Fills in a template as the platform does, for values and for sections that are not nested. */
inline std::string fillIn(std::string text, const Values& values)
{
    for (std::size_t at = 0; (at = text.find("{{#", at)) != std::string::npos;) {
        const auto nameEnd = text.find("}}", at);
        const std::string name = text.substr(at + 3, nameEnd - at - 3);
        const std::string close = "{{/" + name + "}}";
        const auto end = text.find(close, nameEnd);
        const std::string section = text.substr(nameEnd + 2, end - nameEnd - 2);
        std::string filled;
        if (const auto found = values.find(name); found != values.end()) {
            for (const std::string& value : found->second) {
                std::string part = section;
                for (std::size_t dot; (dot = part.find("{{.}}")) != std::string::npos;) {
                    part.replace(dot, 5, value);
                }
                filled += part;
            }
        }
        text.replace(at, end + close.size() - at, filled);
    }
    for (std::size_t at = 0; (at = text.find("{{", at)) != std::string::npos;) {
        const auto end = text.find("}}", at);
        const auto found = values.find(text.substr(at + 2, end - at - 2));
        text.replace(at, end + 2 - at, found == values.end() ? std::string {} : found->second.front());
    }
    return text;
}

inline std::string readFile(const std::filesystem::path& path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

/** One router process, started with the command of the deploy file. */
struct Router {
    std::string ip;
    std::string zone;
    std::uint16_t frontend = 8227;
    std::uint16_t ready = 8220;
    std::uint16_t control = 8229;
    std::filesystem::path settings;
    std::filesystem::path log;
    pid_t pid = -1;
};

/** No script takes longer: the process ends then, and its routers with it. */
constexpr unsigned longestRunSeconds = 115;

/** The router processes of a small deployment, each on a loopback address of its own. */
class Routers {
public:
    Routers(std::filesystem::path repository, std::filesystem::path folder, const std::string& store,
        const std::vector<std::string>& zones, const std::string& keepSeconds)
        : repository_(std::move(repository))
        , folder_(std::move(folder))
    {
        ::alarm(longestRunSeconds);
        const std::string network = freeNetwork(zones.size());
        const std::string templateText = readFile(repository_ / "platform/router.yaml.tmpl");
        std::vector<std::string> seeds;
        for (std::size_t index = 0; index < zones.size() && seeds.size() < 3; ++index) {
            seeds.push_back(network + std::to_string(index + 1) + ":8229");
        }
        for (std::size_t index = 0; index < zones.size(); ++index) {
            Router router;
            router.ip = network + std::to_string(index + 1);
            router.zone = zones[index];
            router.settings = folder_ / ("router-" + std::to_string(index) + ".yaml");
            router.log = folder_ / ("router-" + std::to_string(index) + ".log");
            const Values values { { "ip", { router.ip } }, { "zone", { router.zone } }, { "region", { "pl-central" } },
                { "listen.frontend", { router.ip + ":8227" } }, { "listen.ready", { router.ip + ":8220" } },
                { "listen.control", { router.ip + ":8229" } }, { "port_range.0", { "7340" } },
                { "port_range.1", { "7355" } }, { "limits.bandwidth_mbps", { "1000" } },
                { "limits.cpu_quota", { "0.25" } }, { "platform.address", { store } },
                { "platform.reads_per_s", { "2000" } }, { "platform.writes_per_s", { "600" } },
                { "platform.keep_s", { keepSeconds } }, { "seeds", seeds }, { "bounds.retry_budget_ratio", { "0.2" } },
                { "bounds.retry_budget_extra", { "52" } }, { "bounds.budget_window_s", { "10" } },
                { "bounds.grace_s", { "8" } } };
            std::ofstream(router.settings) << fillIn(templateText, values);
            routers_.push_back(router);
        }
    }
    ~Routers()
    {
        for (Router& router : routers_) {
            kill(router);
        }
    }
    Routers(const Routers&) = delete;
    Routers& operator=(const Routers&) = delete;

    std::vector<Router>& all() { return routers_; }
    Router& at(std::size_t index) { return routers_.at(index); }

    void start(Router& router) const
    {
        const std::string program = (repository_ / "target/bin/swiftlift-router").string();
        const std::string home = folder_.string();
        const pid_t parent = ::getpid();
        router.pid = ::fork();
        if (router.pid == 0) {
            // The router ends with the process that started it, also when that one is killed.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (::getppid() != parent) {
                ::_exit(125);
            }
            const int log = ::open(router.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(log, 1);
            ::dup2(log, 2);
            if (::chdir(repository_.c_str()) != 0) {
                ::_exit(126);
            }
            const std::string boot = "SWIFTLIFT_BOOT=" + router.settings.string();
            const std::string homeVariable = "HOME=" + home;
            const char* environment[]
                = { "PATH=/usr/bin:/bin", "LANG=C.UTF-8", homeVariable.c_str(), boot.c_str(), nullptr };
            const std::string settings = router.settings.string();
            const char* arguments[] = { program.c_str(), "--settings", settings.c_str(), nullptr };
            ::execve(program.c_str(), const_cast<char**>(arguments), const_cast<char**>(environment));
            ::_exit(127);
        }
    }

    void signal(const Router& router, int number) const
    {
        if (router.pid > 0) {
            ::kill(router.pid, number);
        }
    }

    /** @return Whether the process has ended; it is then forgotten. */
    bool ended(Router& router) const
    {
        if (router.pid <= 0) {
            return true;
        }
        if (::waitpid(router.pid, nullptr, WNOHANG) == router.pid) {
            router.pid = -1;
            return true;
        }
        return false;
    }

    void kill(Router& router) const
    {
        if (router.pid > 0) {
            ::kill(router.pid, SIGCONT);
            ::kill(router.pid, SIGKILL);
            ::waitpid(router.pid, nullptr, 0);
            router.pid = -1;
        }
    }

    /** @return Status of the readiness check; 0: no answer. */
    static int readiness(const Router& router)
    {
        const int descriptor = connectTo(router.ip, router.ready);
        if (descriptor < 0) {
            return 0;
        }
        Connection connection(descriptor);
        connection.write("GET /-/readyz HTTP/1.1\r\nHost: " + router.ip + "\r\nConnection: close\r\n\r\n");
        const auto answer = connection.readMessage(milliseconds(1000));
        return answer ? answer->status() : 0;
    }

    bool waitUntilReady(milliseconds limit)
    {
        const auto until = Clock::now() + limit;
        while (Clock::now() < until) {
            if (std::all_of(
                    routers_.begin(), routers_.end(), [](const Router& each) { return readiness(each) == 200; })) {
                return true;
            }
            std::this_thread::sleep_for(milliseconds(100));
        }
        return false;
    }

private:
    /** @return The first three parts of loopback addresses on which no port of a router is in use. */
    static std::string freeNetwork(std::size_t routers)
    {
        for (unsigned attempt = 0; attempt < 4000; ++attempt) {
            const unsigned number = (static_cast<unsigned>(::getpid()) + attempt * 37) % (100 * 250);
            const std::string network
                = "127." + std::to_string(100 + number / 250) + "." + std::to_string(1 + number % 250) + ".";
            bool free = true;
            for (std::size_t index = 0; index < routers && free; ++index) {
                for (std::uint16_t port : { 8220, 8227, 8229, 7340, 7341, 7355 }) {
                    std::uint16_t tried = port;
                    const int descriptor = listenOn(network + std::to_string(index + 1), tried);
                    free = free && descriptor >= 0;
                    if (descriptor >= 0) {
                        ::close(descriptor);
                    }
                }
            }
            if (free) {
                return network;
            }
        }
        return "127.99.99.";
    }

    std::filesystem::path repository_;
    std::filesystem::path folder_;
    std::vector<Router> routers_;
};

} // namespace review
