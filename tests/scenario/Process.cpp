#include "Process.h"

#include <csignal>
#include <deque>
#include <fstream>
#include <mutex>
#include <set>
#include <sstream>
#include <thread>

#include <fcntl.h>
#include <linux/close_range.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "Errors.h"

namespace swiftlift::scenario {

namespace internal {

    constexpr int signalStatusBase = 128;
    constexpr int cannotRun = 127;

    /** Runs in the child, between fork and exec: async-signal-safe calls only. */
    [[noreturn]] void become(char* const* arguments, int output, pid_t parent) noexcept
    {
        // Without this a runner that is killed leaves its fleet behind, seen as processes that hold the next run's
        // ports. The kernel then ends the child; the second look closes the gap before the call took effect.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent)
            ::_exit(cannotRun);
        // The runner blocks the signals that end it; a child that inherited the mask would ignore a planned stop.
        sigset_t none;
        ::sigemptyset(&none);
        ::sigprocmask(SIG_SETMASK, &none, nullptr);
        // A child that kept a listener of the runner's would keep its port open when the runner has closed it.
        ::close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::execv(arguments[0], arguments);
        ::_exit(cannotRun);
    }

    /** Children that have not been reaped. A process id may be used again only after its child was reaped, and that
     * happens under the same lock as signalling: so a signal never reaches a stranger. */
    struct Children {
        std::mutex mutex;
        std::set<pid_t> alive;
    };

    Children& children()
    {
        static Children instance;
        return instance;
    }

    int toExitStatus(int status) noexcept
    {
        return WIFEXITED(status) ? WEXITSTATUS(status) : signalStatusBase + WTERMSIG(status);
    }

} // namespace internal

Process::Process(std::string name, std::vector<std::string> command, std::filesystem::path output)
    : name_(std::move(name))
    , command_(std::move(command))
    , output_(std::move(output))
{
}

Process::~Process() { kill(); }

void Process::start()
{
    if (running())
        throw BrokenScript(name_ + " is running already");
    if (::access(command_.front().c_str(), X_OK) != 0)
        throw BrokenScript("no program " + command_.front());
    std::error_code none;
    printedBefore_ = std::filesystem::exists(output_) ? std::filesystem::file_size(output_, none) : 0;
    const int output = ::open(output_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (output < 0)
        throw BrokenScript("cannot write " + output_.string());
    std::vector<char*> arguments;
    for (auto& argument : command_)
        arguments.push_back(argument.data());
    arguments.push_back(nullptr);
    const std::scoped_lock lock(internal::children().mutex);
    const pid_t parent = ::getpid();
    const pid_t child = ::fork();
    if (child == 0)
        internal::become(arguments.data(), output, parent);
    ::close(output);
    if (child < 0)
        throw BrokenScript("cannot fork for " + name_);
    internal::children().alive.insert(child);
    pid_ = child;
    exitStatus_.reset();
}

bool Process::running()
{
    const std::scoped_lock lock(internal::children().mutex);
    return !reap(WNOHANG);
}

bool Process::reap(int options)
{
    if (pid_ == 0 || exitStatus_)
        return true;
    int status = 0;
    if (::waitpid(pid_, &status, options) == pid_) {
        exitStatus_ = internal::toExitStatus(status);
        internal::children().alive.erase(pid_);
    }
    return exitStatus_.has_value();
}

void Process::signal(int number)
{
    const std::scoped_lock lock(internal::children().mutex);
    if (!reap(WNOHANG))
        ::kill(pid_, number);
}

std::optional<int> Process::waitForExit(Milliseconds bound)
{
    const Moment until = Clock::now() + bound;
    while (running()) {
        if (Clock::now() >= until)
            return std::nullopt;
        std::this_thread::sleep_for(lookAgain);
    }
    return exitStatus_;
}

void Process::kill()
{
    const std::scoped_lock lock(internal::children().mutex);
    if (reap(WNOHANG))
        return;
    ::kill(pid_, SIGKILL);
    reap(0);
}

void endAllProcesses()
{
    internal::Children& children = internal::children();
    // Kept for good: nobody may start another process now.
    children.mutex.lock();
    for (const pid_t child : children.alive)
        ::kill(child, SIGKILL);
    for (const pid_t child : children.alive)
        ::waitpid(child, nullptr, 0);
}

bool Process::waitForLine(const std::string& text, Milliseconds bound)
{
    const Moment until = Clock::now() + bound;
    do {
        const bool alive = running();
        std::istringstream lines(printed());
        for (std::string line; std::getline(lines, line);) {
            if (line.starts_with(text))
                return true;
        }
        if (!alive)
            return false;
        std::this_thread::sleep_for(lookAgain);
    } while (Clock::now() < until);
    return false;
}

std::string Process::printed() const
{
    std::ifstream file(output_, std::ios::binary);
    file.seekg(static_cast<std::streamoff>(printedBefore_));
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::vector<std::string> lastLines(const std::filesystem::path& file, std::size_t count)
{
    std::ifstream input(file);
    std::deque<std::string> lines;
    for (std::string line; std::getline(input, line);) {
        lines.push_back(line);
        if (lines.size() > count)
            lines.pop_front();
    }
    return { lines.begin(), lines.end() };
}

} // namespace swiftlift::scenario
