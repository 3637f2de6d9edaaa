#include "swiftlift/transport/LogClient.h"

#include <atomic>
#include <map>
#include <thread>
#include <utility>

#include "swiftlift/ring/Inbox.h"
#include "swiftlift/transport/SteadyInstant.h"
#include "transport/LogEndReader.h"
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
    State(LogClientSettings clientSettings, std::shared_ptr<const LogDialect> logDialect, DecisionInbox& decisionInbox,
        ControlTraffic& counters)
        : settings(std::move(clientSettings))
        , dialect(std::move(logDialect))
        , decisions(decisionInbox)
        , traffic(counters)
        , appends(appendRingCapacity)
        , appendEndpoints(settings, counters.log)
        , endReader(settings, *dialect, decisions, counters.log)
        , appender([this] { runAppends(); })
    {
    }

    void runAppends();
    void sendAppend(const TaggedAppend& taggedAppend);
    void pushToDecisions(Incarnation incarnationTag, node::Event&& event);
    void cancelFollower(const StreamName& stream);
    void destroyEndedFollowers();

    const LogClientSettings settings;
    const std::shared_ptr<const LogDialect> dialect;
    DecisionInbox& decisions;
    ControlTraffic& traffic;
    std::atomic<std::uint64_t> incarnation = 0;
    std::map<StreamName, std::unique_ptr<internal::LogFollower>> followers;
    /** Cancelled followers, destroyed after their threads have ended, so that the decision thread never waits. */
    std::vector<std::unique_ptr<internal::LogFollower>> cancelledFollowers;
    ring::Inbox<TaggedAppend> appends;
    internal::LogEndpoints appendEndpoints;
    std::atomic<bool> stopping = false;
    internal::LogEndReader endReader;
    std::thread appender;
};

void LogClient::State::runAppends()
{
    while (!stopping.load()) {
        static_cast<void>(appends.wakeup().waitFor(idleWait));
        appends.wakeup().consume();
        while (const auto taggedAppend = appends.tryPop()) {
            sendAppend(*taggedAppend);
        }
    }
}

void LogClient::State::sendAppend(const TaggedAppend& taggedAppend)
{
    const Instant begun = steadyInstant();
    std::size_t bytes = taggedAppend.append.record.size();
    for (const auto& [key, value] : taggedAppend.append.further) {
        bytes += value.size();
    }
    const auto answer = appendEndpoints.call(dialect->append(taggedAppend.append), settings.appendLimit);
    const auto problem
        = answer ? dialect->appendProblem(*answer) : std::optional(LogProblem { appendEndpoints.lastReason() });
    traffic.log.calls.noteAppend(taggedAppend.append.stream, bytes, !problem, steadyInstant() - begun);
    if (problem) {
        pushToDecisions(taggedAppend.incarnation,
            node::LogUnreachable { taggedAppend.append.stream, "append: " + problem->detail });
    } else {
        pushToDecisions(taggedAppend.incarnation, node::AppendAnswered { taggedAppend.append.stream });
    }
}

void LogClient::State::pushToDecisions(Incarnation incarnationTag, node::Event&& event)
{
    // This event must not be lost: the core appends to a stream only after it has the result of the previous append.
    TaggedEvent tagged { incarnationTag, std::move(event) };
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
    cancelledFollowers.push_back(std::move(found->second));
    followers.erase(found);
}

void LogClient::State::destroyEndedFollowers()
{
    std::erase_if(cancelledFollowers, [](const auto& follower) { return follower->ended(); });
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
    state_->destroyEndedFollowers();
}

void LogClient::follow(const node::Follow& follow)
{
    state_->cancelFollower(follow.stream);
    state_->destroyEndedFollowers();
    state_->followers[follow.stream] = std::make_unique<internal::LogFollower>(state_->settings, *state_->dialect,
        state_->decisions, state_->traffic.log, Incarnation(state_->incarnation.load()), follow);
}

void LogClient::pace(const StreamName& stream, Duration pause)
{
    if (const auto found = state_->followers.find(stream); found != state_->followers.end()) {
        found->second->setPause(pause);
    }
}

void LogClient::readSoon(const StreamName& stream)
{
    if (const auto found = state_->followers.find(stream); found != state_->followers.end()) {
        found->second->expediteNextRead();
    }
}

bool LogClient::append(node::Append& append)
{
    TaggedAppend taggedAppend { Incarnation(state_->incarnation.load()), std::move(append) };
    const bool queued = state_->appends.tryPush(taggedAppend);
    if (!queued) {
        append = std::move(taggedAppend.append);
    }
    return queued;
}

void LogClient::readEnd(node::ReadEnd&& read)
{
    state_->endReader.request(Incarnation(state_->incarnation.load()), std::move(read));
}

void LogClient::reportCalls()
{
    // Without room for it the report is dropped: the core gets the next one.
    TaggedEvent report { Incarnation(state_->incarnation.load()), state_->traffic.log.calls.take() };
    static_cast<void>(state_->decisions.tryPush(report));
}

void LogClient::stop()
{
    if (state_->stopping.exchange(true)) {
        return;
    }
    state_->appendEndpoints.cancel();
    state_->appends.wakeup().signal();
    state_->endReader.stop();
    for (const auto& [stream, follower] : state_->followers) {
        follower->cancel();
    }
    state_->followers.clear();
    state_->cancelledFollowers.clear();
    state_->appender.join();
}

} // namespace swiftlift::transport
