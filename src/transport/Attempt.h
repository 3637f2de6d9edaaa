#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "transport/AnswerReader.h"
#include "transport/BackendPool.h"
#include "transport/Deadline.h"
#include "transport/ReadPacer.h"
#include "transport/StreamContext.h"

namespace swiftlift::transport::internal {

class Attempt;

/** What an attempt tells. */
class AttemptHost {
public:
    AttemptHost() = default;
    virtual ~AttemptHost() = default;
    AttemptHost(const AttemptHost&) = delete;
    AttemptHost& operator=(const AttemptHost&) = delete;

    /** The next part of the answer, as its reader makes parts. */
    virtual void answerPartCame(Attempt& attempt, std::string part) = 0;
    /** Told exactly once, unless the attempt is cancelled before. */
    virtual void attemptEnded(Attempt& attempt, AttemptResult result, std::string detail) = 0;
};

/** Which connections a request may go over. */
enum class Reuse : std::uint8_t {
    /** A new one, closed afterwards. */
    Never,
    /** A kept one that has not been idle for long: an idle one may close at the moment of the write. */
    Fresh,
    /** Any kept one: the request may run twice. */
    Any,
};

/** How an attempt is to be made. */
struct AttemptOrder {
    AttemptId attempt;
    CallId call;
    BackendId backend;
    BackendAddress address;
    /** The whole request. */
    std::string request;
    std::function<std::shared_ptr<AnswerReader>(AnswerSink)> makeReader;
    Reuse reuse = Reuse::Never;
    /** How long the backend server may take to answer at all, and between two parts; zero: the limits' default. */
    Duration silenceLimit {};
    /** For logs: the request, as its caller names it. */
    std::string name;
};

/** One request at one backend server: connect, write, read the answer. */
class Attempt final : public PacedReader, public std::enable_shared_from_this<Attempt> {
public:
    Attempt(StreamContext& context, AttemptHost& host, BackendPool& pool, AttemptOrder order);

    void start();

    /** Lets go; nothing more is told. */
    void cancel();

    /** Stops reading, because the caller is slow. */
    void pause();
    void resume();
    void readNow() override { read(); }

    [[nodiscard]] AttemptId id() const noexcept { return order_.attempt; }
    [[nodiscard]] CallId call() const noexcept { return order_.call; }
    /** @return The engine's own counts, of a whole answer. */
    [[nodiscard]] const DoneLine& counts() const noexcept { return reader_->counts(); }
    /** @return Status of the answer; 0 while none has come. */
    [[nodiscard]] int status() const noexcept { return status_; }
    /** @return Whether the backend server closed or reset the connection before the end of its answer. */
    [[nodiscard]] bool connectionLost() const noexcept { return connectionLost_; }

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;
    using ErrorCode = boost::system::error_code;

    void startParser();
    void connect();
    void write();
    void read();
    void onRead(ErrorCode error, std::size_t count);
    void onClosed(ErrorCode error);
    void parse();
    void takeHeader();
    void takeBody();
    void takeEnd();
    void follow(ReadState state);
    void silencePassed();
    void end(AttemptResult result, std::string detail);
    void recycle();
    void closeSocket();
    void armSilence();
    [[nodiscard]] AnswerSink sink();
    void logForeignAnswer(const std::string& reason);

    StreamContext& context_;
    AttemptHost& host_;
    BackendPool& pool_;
    AttemptOrder order_;
    Deadline deadline_;
    BackendPool::ConnectionPtr connection_;
    std::shared_ptr<AnswerReader> reader_;
    std::optional<Parser> parser_;
    boost::beast::flat_buffer buffer_;
    std::string refusalBody_;
    int status_ = 0;
    std::optional<HeadVerdict> verdict_;
    /** A byte of the request may have reached the backend server. */
    bool maybeStarted_ = false;
    /** It was given a second time to connect. */
    bool excused_ = false;
    bool reading_ = false;
    /** The answer is a stream, and its first event has been passed on: the following ones may wait for each other. */
    bool streaming_ = false;
    bool writing_ = false;
    bool paused_ = false;
    bool ended_ = false;
    bool connectionLost_ = false;
    bool closed_ = false;
};

} // namespace swiftlift::transport::internal
