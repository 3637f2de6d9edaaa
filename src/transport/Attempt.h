#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "swiftlift/node/RelayRoute.h"
#include "transport/AnswerReader.h"
#include "transport/BackendPool.h"
#include "transport/Deadline.h"
#include "transport/HeldBytes.h"
#include "transport/ReadPacer.h"
#include "transport/StreamContext.h"
#include "transport/TextBody.h"

namespace swiftlift::transport::internal {

class Attempt;

/** Handles the events of attempts. */
class AttemptHandler {
public:
    AttemptHandler() = default;
    virtual ~AttemptHandler() = default;
    AttemptHandler(const AttemptHandler&) = delete;
    AttemptHandler& operator=(const AttemptHandler&) = delete;

    /** The answer's reader has produced the next part of the answer. */
    virtual void answerPartReceived(Attempt& attempt, std::string part) = 0;
    /** The attempt has ended. Called exactly once, unless the attempt is cancelled before. */
    virtual void attemptEnded(Attempt& attempt, AttemptResult result, std::string detail) = 0;
};

/** Which connections an attempt may use. */
enum class Reuse : std::uint8_t {
    /** Only a new connection, which is closed afterwards. */
    Never,
    /** Also a kept connection that became idle recently: long-idle ones more often close during the write. */
    Fresh,
    /** Any kept connection: the request may run twice. */
    Any,
};

/** Target, request and limits of an attempt. */
struct AttemptOrder {
    AttemptId attempt;
    CallId call;
    BackendId backend;
    BackendAddress address;
    /** The peer that relays the connection; nullopt: none. */
    std::optional<node::RelayRoute> relay;
    /** Bytes of the complete request. */
    std::string request;
    std::function<std::shared_ptr<AnswerReader>(AnswerSink)> makeReader;
    Reuse reuse = Reuse::Never;
    /** Maximum time to the first part of the answer and between two parts; zero: `StreamLimits::defaultSilence`. */
    Duration silenceLimit {};
    /** Name of the request in logs. */
    std::string name;
};

/** Runs a request at a backend server: connects, writes the request and reads the answer. */
class Attempt final : public PacedReader, public std::enable_shared_from_this<Attempt> {
public:
    Attempt(StreamContext& context, AttemptHandler& handler, BackendPool& pool, AttemptOrder order);

    /** Takes a kept connection or connects, and writes the request. */
    void start();

    /** Closes the connection; the handler is not called any more. */
    void cancel();

    /** Stops reading until resume(), because the caller is slow. */
    void pause();
    void resume();
    void readNow() override;

    [[nodiscard]] std::size_t collectedBytes() const noexcept override;

    [[nodiscard]] AttemptId id() const noexcept { return order_.attempt; }
    [[nodiscard]] CallId call() const noexcept { return order_.call; }
    /** @return The token counts that the engine reported with a complete answer. */
    [[nodiscard]] const DoneLine& counts() const noexcept { return reader_->counts(); }
    [[nodiscard]] const BackendId& backend() const noexcept { return order_.backend; }
    /** @return What the answer's head states about the backend server; nullopt: no head was received. */
    [[nodiscard]] std::optional<routing::Announcement> announcement() const;
    /** @return HTTP status of the answer; 0 before its head is received. */
    [[nodiscard]] int status() const noexcept { return status_; }
    [[nodiscard]] node::ConnectFailure connectFailure() const noexcept { return connectFailure_; }
    /** @return Whether the request runs at a backend server that this router is connected to itself. */
    [[nodiscard]] bool runsDirectly() const noexcept { return maybeStarted_ && !order_.relay && !paused_ && !ended_; }
    /** @return Whether the backend server closed or reset the connection before the end of its answer, or as its end.
     */
    [[nodiscard]] bool connectionLost() const noexcept { return connectionLost_; }

private:
    /** Shortest time after which a backend server may cut off an answer that is not read. */
    static constexpr std::chrono::milliseconds cutOffTime { 1'000 };

    using Parser = boost::beast::http::response_parser<TextBody>;
    using ErrorCode = boost::system::error_code;

    void startParser();
    void connect();
    /** Asks the relay for a connection to the backend server. */
    void requestRelay();
    void relayAnswered(const ErrorCode& error);
    void endUnconnected(std::string detail);
    void write();
    void read();
    /** @return Whether reading waits because all connections together hold too many bytes. */
    [[nodiscard]] bool mustWaitForMemory();
    void onRead(ErrorCode error, std::size_t count);
    void onClosed(ErrorCode error);
    /** @return Whether the backend server may have cut off its answer because it was not read. */
    [[nodiscard]] bool wasUnreadForLong() const noexcept { return longestPause_ >= cutOffTime; }
    void parse();
    void handleHeader();
    void handleBody();
    void handleEnd();
    void handleReadState(ReadState state);
    /** Limits what is read of the answer in total, and what of it is not parsed yet. */
    void checkSize();
    /** Ends the attempt because its answer exceeds a limit on size or time. */
    void endOversized(const std::string& reason);
    void discard(std::size_t count);
    void silenceTimedOut();
    void end(AttemptResult result, std::string detail);
    void recycle();
    void closeSocket();
    void armSilenceTimeout();
    void updateHeldBytes();
    [[nodiscard]] AnswerSink sink();
    void logForeignAnswer(const std::string& reason);

    StreamContext& context_;
    AttemptHandler& handler_;
    BackendPool& pool_;
    AttemptOrder order_;
    Deadline deadline_;
    BackendPool::ConnectionPtr connection_;
    std::shared_ptr<AnswerReader> reader_;
    std::optional<Parser> parser_;
    boost::beast::flat_buffer buffer_;
    HeldBytes held_;
    /** What the answer's reader has collected, if that is much. */
    HeldBytes heldOfLargeAnswer_;
    /** Number of bytes that were received since the request was written. */
    std::size_t receivedBytes_ = 0;
    /** Bytes of bodies that are not the answer. */
    std::size_t discardedBytes_ = 0;
    /** Heads that were not the answer's. */
    int foreignHeads_ = 0;
    int foreignLogLines_ = 0;
    std::chrono::steady_clock::time_point pausedAt_;
    /** Longest time for which the answer was not read, because its caller is slow. */
    std::chrono::steady_clock::duration longestPause_ {};
    /** The answer is not read until fewer bytes are held. */
    bool waitsForMemory_ = false;
    /** When the answer must be complete. */
    std::chrono::steady_clock::time_point answerDue_ = std::chrono::steady_clock::time_point::max();
    std::string refusalBody_;
    std::string relayRequest_;
    std::string relayAnswer_;
    node::ConnectFailure connectFailure_ = node::ConnectFailure::None;
    /** The connection to the relay was made. */
    bool relayReached_ = false;
    /** Status with which the relay refused; 0: it did not. */
    int relayStatus_ = 0;
    /** This router itself has made the connection, and nothing has arrived on it. */
    bool unproven_ = false;
    int status_ = 0;
    std::optional<HeadVerdict> verdict_;
    /** A byte of the request may have reached the backend server. */
    bool maybeStarted_ = false;
    /** The connect timeout has been extended once. */
    bool connectTimeoutExtended_ = false;
    bool reading_ = false;
    /** The answer's first part has been forwarded; later reads are batched by the pacer. */
    bool streaming_ = false;
    bool writing_ = false;
    /** The request could not be written to the end, because the backend server has closed or reset the connection. */
    bool requestCut_ = false;
    /** The connection's end would complete the answer, but the request is still being written. */
    bool endAwaitsWrite_ = false;
    bool paused_ = false;
    bool ended_ = false;
    bool connectionLost_ = false;
    bool closed_ = false;
};

} // namespace swiftlift::transport::internal
