#include "swiftlift/transport/LogClient.h"

#include <atomic>
#include <map>
#include <thread>
#include <utility>

#include "swiftlift/ring/Inbox.h"
#include "transport/LogFollower.h"

namespace swiftlift::transport {

namespace {

    constexpr std::size_t appendRingCapacity = 1024;
    constexpr std::chrono::milliseconds idleWait { 500 };

    struct TaggedAppend {
        Incarnation incarnation;
        node::Append append;
    };

} // namespace

struct LogClient::State {
    State(LogClientSettings given, std::shared_ptr<const LogDialect> spoken, DecisionInbox& inbox,
        ControlTraffic& counters)
        : settings(std::move(given))
        , dialect(std::move(spoken))
        , decisions(inbox)
        , traffic(counters)
        , appends(appendRingCapacity)
        , appendLog(settings, counters.log)
        , appender([this] { runAppends(); })
    {
    }

    void runAppends();
    void appendOnce(const TaggedAppend& order);
    void push(Incarnation to, node::Event&& event);
    void cancelFollower(const StreamName& stream);
    void dropEnded();

    const LogClientSettings settings;
    const std::shared_ptr<const LogDialect> dialect;
    DecisionInbox& decisions;
    ControlTraffic& traffic;
    std::atomic<std::uint64_t> incarnation = 0;
    std::map<StreamName, std::unique_ptr<internal::LogFollower>> followers;
    /** Told to end; destroyed once they have, so that nobody waits for them. */
    std::vector<std::unique_ptr<internal::LogFollower>> ending;
    ring::Inbox<TaggedAppend> appends;
    internal::LogEndpoints appendLog;
    std::atomic<bool> stopping = false;
    std::thread appender;
};

void LogClient::State::runAppends()
{
    while (!stopping.load()) {
        static_cast<void>(appends.wakeup().waitFor(idleWait));
        appends.wakeup().consume();
        while (const auto order = appends.tryPop()) {
            appendOnce(*order);
        }
    }
}

void LogClient::State::appendOnce(const TaggedAppend& order)
{
    const auto answer = appendLog.call(dialect->append(order.append), settings.appendLimit);
    const auto problem
        = answer ? dialect->appendProblem(*answer) : std::optional(LogProblem { appendLog.lastReason() });
    if (problem) {
        push(order.incarnation, node::LogUnreachable { order.append.stream, "append: " + problem->detail });
    } else {
        push(order.incarnation, node::AppendAnswered { order.append.stream });
    }
}

void LogClient::State::push(Incarnation to, node::Event&& event)
{
    // The core makes no further append to a stream before it has heard of the last one, so this may not be lost.
    TaggedEvent tagged { to, std::move(event) };
    while (!decisions.tryPush(tagged) && !stopping.load()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
}

void LogClient::State::cancelFollower(const StreamName& stream)
{
    const auto found = followers.find(stream);
    if (found == followers.end()) {
        return;
    }
    found->second->cancel();
    ending.push_back(std::move(found->second));
    followers.erase(found);
}

void LogClient::State::dropEnded()
{
    std::erase_if(ending, [](const auto& follower) { return follower->ended(); });
}

LogClient::LogClient(LogClientSettings settings, std::shared_ptr<const LogDialect> dialect, DecisionInbox& decisions,
    ControlTraffic& traffic)
    : state_(std::make_unique<State>(std::move(settings), std::move(dialect), decisions, traffic))
{
}

LogClient::~LogClient() { stop(); }

void LogClient::beginIncarnation(Incarnation incarnation)
{
    state_->incarnation.store(incarnation.value());
    while (!state_->followers.empty()) {
        state_->cancelFollower(state_->followers.begin()->first);
    }
    state_->dropEnded();
}

void LogClient::follow(const node::Follow& follow)
{
    state_->cancelFollower(follow.stream);
    state_->dropEnded();
    state_->followers[follow.stream] = std::make_unique<internal::LogFollower>(state_->settings, *state_->dialect,
        state_->decisions, state_->traffic.log, Incarnation(state_->incarnation.load()), follow);
}

void LogClient::readSoon(const StreamName& stream)
{
    if (const auto found = state_->followers.find(stream); found != state_->followers.end()) {
        found->second->hasten();
    }
}

bool LogClient::append(node::Append& append)
{
    TaggedAppend order { Incarnation(state_->incarnation.load()), std::move(append) };
    const bool taken = state_->appends.tryPush(order);
    if (!taken) {
        append = std::move(order.append);
    }
    return taken;
}

void LogClient::stop()
{
    if (state_->stopping.exchange(true)) {
        return;
    }
    state_->appendLog.cancel();
    state_->appends.wakeup().signal();
    for (const auto& [stream, follower] : state_->followers) {
        follower->cancel();
    }
    state_->followers.clear();
    state_->ending.clear();
    state_->appender.join();
}

} // namespace swiftlift::transport
