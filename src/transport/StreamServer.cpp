#include "swiftlift/transport/StreamServer.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>
#include <utility>

#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/steady_timer.hpp>

#include "swiftlift/transport/AnnouncementFields.h"
#include "transport/CallTable.h"
#include "transport/ConnectionLimits.h"
#include "transport/LinkProber.h"
#include "transport/ProxyCallTable.h"
#include "transport/RelayServer.h"

namespace swiftlift::transport {

namespace {

    using boost::asio::ip::tcp;
    using ErrorCode = boost::system::error_code;

    constexpr std::size_t commandRingCapacity = 16'384;
    constexpr std::size_t commandsPerRound = 1024;
    constexpr std::chrono::milliseconds acceptRetry { 100 };

    std::unique_ptr<internal::StreamTable> makeTable(
        internal::StreamContext& context, std::shared_ptr<const ProxyDialect> dialect)
    {
        if (dialect) {
            return std::make_unique<internal::ProxyCallTable>(context, std::move(dialect));
        }
        return std::make_unique<internal::CallTable>(context);
    }

    internal::ReadAnnouncement makeAnnouncementReader(std::shared_ptr<const ProxyDialect> dialect)
    {
        if (!dialect) {
            return [](const AnswerHead& head) { return readAnnouncement(head, nativeAnnouncementFields); };
        }
        return [dialect = std::move(dialect)](const AnswerHead& head) {
            const AnswerMarks marks = dialect->marks(head);
            // Another server at the same address states nothing about the intended one.
            return marks.otherServer ? routing::Announcement {} : marks.announcement;
        };
    }

    /** A listening socket, with the timer for retries of accept(). */
    struct Listener {
        explicit Listener(boost::asio::io_context& loop)
            : acceptor(loop)
            , retryTimer(loop)
        {
        }

        tcp::acceptor acceptor;
        boost::asio::steady_timer retryTimer;
    };

    StreamLimits limitedByDescriptors(StreamLimits limits)
    {
        internal::limitByDescriptors(limits, internal::descriptorLimit());
        return limits;
    }

    int backlogOf(const StreamLimits& limits)
    {
        return limits.acceptBacklog > 0 ? limits.acceptBacklog : tcp::acceptor::max_listen_connections;
    }

} // namespace

struct StreamServer::State {
    State(StreamLimits given, DecisionInbox& decisions, StreamObserver& observer, logging::JsonLog& log,
        std::shared_ptr<const ProxyDialect> dialect)
        : limits(limitedByDescriptors(given))
        , inbox(commandRingCapacity)
        , context { loop, limits, decisions, ring::Outbox<TaggedEvent>(decisions), observer, log,
            internal::ReadPacer(loop, given.readInterval), {}, {}, {}, {} }
        , table(makeTable(context, dialect))
        , relayServer(context, makeAnnouncementReader(std::move(dialect)))
        , prober(context)
        , callers(loop)
        , readiness(loop)
        , relay(loop)
        , commands(loop, ::dup(inbox.wakeup().descriptor()))
        , sweepTimer(loop)
    {
    }

    [[nodiscard]] bool open(Listener& listener, const Endpoint& endpoint);
    void accept(Listener& listener);
    void accepted(Listener& listener, ErrorCode error, tcp::socket socket);
    void awaitCommands();
    void executeCommands();
    void execute(StreamCommand&& command);
    void sweep();
    /** Reads on where too many held bytes prevented it, if that has changed. */
    void readPostponed();
    void run();
    /** @return Whether a stop still has to wait. */
    [[nodiscard]] bool mustWait() const;
    void beginStop(const StopLimits& stopLimits);

    StreamLimits limits;
    StreamInbox inbox;
    boost::asio::io_context loop { 1 };
    internal::StreamContext context;
    std::unique_ptr<internal::StreamTable> table;
    internal::RelayServer relayServer;
    internal::LinkProber prober;
    Listener callers;
    Listener readiness;
    Listener relay;
    boost::asio::posix::stream_descriptor commands;
    boost::asio::steady_timer sweepTimer;
    std::chrono::steady_clock::time_point sweepDue = std::chrono::steady_clock::now();
    /** When a stop no longer waits for connections, and for answers. */
    std::optional<std::chrono::steady_clock::time_point> closeAt;
    std::chrono::steady_clock::time_point stopAt;
    std::string lastReason;
    mutable std::mutex countsMutex;
    StreamCounts publishedCounts;
    std::thread thread;
};

bool StreamServer::State::open(Listener& listener, const Endpoint& endpoint)
{
    ErrorCode error;
    const auto fail = [&] {
        lastReason = toText(endpoint) + ": " + error.message();
        return false;
    };
    const tcp::endpoint address(boost::asio::ip::make_address(endpoint.ip, error), endpoint.port);
    tcp::acceptor& acceptor = listener.acceptor;
    if (error || acceptor.open(address.protocol(), error)) {
        return fail();
    }
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (acceptor.bind(address, error) || acceptor.listen(backlogOf(limits), error)) {
        return fail();
    }
    return true;
}

void StreamServer::State::accept(Listener& listener)
{
    listener.acceptor.async_accept(
        [this, &listener](ErrorCode error, tcp::socket socket) { accepted(listener, error, std::move(socket)); });
}

void StreamServer::State::accepted(Listener& listener, ErrorCode error, tcp::socket socket)
{
    if (error == boost::asio::error::operation_aborted) {
        return;
    }
    if (!error) {
        if (&listener == &callers) {
            table->accept(std::move(socket));
        } else if (&listener == &relay) {
            relayServer.accept(std::move(socket));
        } else {
            table->acceptReadiness(std::move(socket));
        }
        accept(listener);
        return;
    }
    // Without the delay, accept() would fail again at once while no file descriptor is free, and use up the event loop.
    listener.retryTimer.expires_after(acceptRetry);
    listener.retryTimer.async_wait([this, &listener](ErrorCode cancelled) {
        if (!cancelled && listener.acceptor.is_open()) {
            accept(listener);
        }
    });
}

void StreamServer::State::awaitCommands()
{
    commands.async_wait(boost::asio::posix::stream_descriptor::wait_read, [this](ErrorCode error) {
        if (!error) {
            executeCommands();
            awaitCommands();
        }
    });
}

void StreamServer::State::executeCommands()
{
    inbox.wakeup().consume();
    for (std::size_t count = 0; count < commandsPerRound; ++count) {
        auto command = inbox.tryPop();
        if (!command) {
            return;
        }
        execute(std::move(*command));
    }
    // More commands may be queued; the sockets are handled before the next round.
    inbox.wakeup().signal();
}

void StreamServer::State::execute(StreamCommand&& command)
{
    if (const auto* probe = std::get_if<node::ProbeBackend>(&command)) {
        prober.probe(*probe);
    } else if (auto* answer = std::get_if<node::AnswerRelay>(&command)) {
        relayServer.execute(std::move(*answer));
    } else {
        table->execute(std::move(command));
    }
}

void StreamServer::State::sweep()
{
    context.lag = std::max(std::chrono::steady_clock::now() - sweepDue, std::chrono::steady_clock::duration::zero());
    table->sweep();
    readPostponed();
    {
        const std::lock_guard lock(countsMutex);
        publishedCounts = table->counts();
        publishedCounts.relays = relayServer.size();
        publishedCounts.heldBytes = context.held->bytes;
        publishedCounts.mostHeldBytes = context.held->most;
    }
    if (closeAt && !mustWait()) {
        table->closeAll();
        relayServer.closeAll();
        loop.stop();
        return;
    }
    sweepDue = std::chrono::steady_clock::now() + limits.progressInterval;
    sweepTimer.expires_at(sweepDue);
    sweepTimer.async_wait([this](ErrorCode error) {
        if (!error) {
            sweep();
        }
    });
}

bool StreamServer::State::mustWait() const
{
    const auto now = std::chrono::steady_clock::now();
    if (now < *closeAt) {
        return table->hasConnections() || relayServer.size() > 0;
    }
    return now < stopAt && table->owesAnswers();
}

void StreamServer::State::readPostponed()
{
    for (const auto& postponed : std::exchange(context.postponed, {})) {
        const auto reader = postponed.lock();
        if (!reader) {
            continue;
        }
        if (context.mayCollect(reader)) {
            reader->readNow();
        } else {
            context.postponed.push_back(postponed);
        }
    }
}

// The operating system wakes the event loop for every received packet, even for streams that are not read before the
// pacer's next round. With 40 streams, that means 1,700 wake-ups a second for 25 rounds of the pacer. Under load, the
// sockets are therefore polled every `gatherTime` instead.
void StreamServer::State::run()
{
    while (!loop.stopped()) {
        const bool busy = limits.gatherTime.count() > 0 && table->attempts() + relayServer.size() >= limits.gatherFrom;
        if (!busy) {
            loop.run_one();
            continue;
        }
        loop.poll();
        std::this_thread::sleep_for(limits.gatherTime);
    }
}

void StreamServer::State::beginStop(const StopLimits& stopLimits)
{
    ErrorCode ignored;
    callers.acceptor.close(ignored);
    readiness.acceptor.close(ignored);
    relay.acceptor.close(ignored);
    const auto now = std::chrono::steady_clock::now();
    closeAt = now + stopLimits.connections;
    stopAt = now + stopLimits.answers;
    table->closeIdleConnections();
}

StreamServer::StreamServer(StreamLimits limits, DecisionInbox& decisions, StreamObserver& observer,
    logging::JsonLog& log, std::shared_ptr<const ProxyDialect> dialect)
    : state_(std::make_unique<State>(limits, decisions, observer, log, std::move(dialect)))
{
}

StreamServer::~StreamServer() { stop(std::chrono::milliseconds(0)); }

bool StreamServer::listen(const Endpoint& endpoint) { return state_->open(state_->callers, endpoint); }

bool StreamServer::listenReadiness(const Endpoint& endpoint) { return state_->open(state_->readiness, endpoint); }

bool StreamServer::listenRelay(const Endpoint& endpoint) { return state_->open(state_->relay, endpoint); }

const std::string& StreamServer::lastReason() const noexcept { return state_->lastReason; }

std::uint16_t StreamServer::port() const
{
    ErrorCode ignored;
    return state_->callers.acceptor.local_endpoint(ignored).port();
}

void StreamServer::setForwarders(BackendForwarders forwarders) { state_->context.forwarders = std::move(forwarders); }

void StreamServer::start()
{
    state_->accept(state_->callers);
    if (state_->readiness.acceptor.is_open()) {
        state_->accept(state_->readiness);
    }
    if (state_->relay.acceptor.is_open()) {
        state_->accept(state_->relay);
    }
    state_->awaitCommands();
    state_->sweep();
    state_->thread = std::thread([state = state_.get()] { state->run(); });
}

void StreamServer::stop(std::chrono::milliseconds limit) { stop(StopLimits { limit, limit }); }

void StreamServer::stop(const StopLimits& limits)
{
    if (!state_->thread.joinable()) {
        return;
    }
    boost::asio::post(state_->loop, [state = state_.get(), limits] { state->beginStop(limits); });
    state_->thread.join();
}

StreamInbox& StreamServer::inbox() noexcept { return state_->inbox; }

StreamCounts StreamServer::counts() const
{
    const std::lock_guard lock(state_->countsMutex);
    return state_->publishedCounts;
}

} // namespace swiftlift::transport
