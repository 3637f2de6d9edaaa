#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "swiftlift/node/Action.h"
#include "transport/AnswerReader.h"
#include "transport/BackendPool.h"
#include "transport/Deadline.h"
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

    /** The next token, or a plain service's whole body. */
    virtual void answerPartCame(Attempt& attempt, std::string part) = 0;
    /** Told exactly once, unless the attempt is cancelled before. */
    virtual void attemptEnded(Attempt& attempt, node::AttemptEnd end, const DoneLine& counts, std::string detail) = 0;
};

/** How an attempt is to be made. */
struct AttemptOrder {
    node::Dispatch dispatch;
    /** Index of the first token that the caller has not got. */
    std::int64_t next = 0;
    /** Most tokens of the answer; 0: no bound. */
    std::int64_t mostTokens = 0;
    /** Whether a kept connection may be used: only for what may run twice. */
    bool mayReuse = false;
};

/** One request at one backend server: connect, write, read the answer. */
class Attempt : public std::enable_shared_from_this<Attempt> {
public:
    Attempt(StreamContext& context, AttemptHost& host, BackendPool& pool, AttemptOrder order);

    void start();

    /** Lets go; nothing more is told. */
    void cancel();

    /** Stops reading, because the caller is slow. */
    void pause();
    void resume();

    [[nodiscard]] AttemptId id() const noexcept { return order_.dispatch.attempt; }
    [[nodiscard]] CallId call() const noexcept { return order_.dispatch.call; }

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;
    using ErrorCode = boost::system::error_code;

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
    void takeRefusal();
    void silencePassed();
    void end(node::AttemptEnd end, std::string detail);
    void recycle();
    void closeSocket();
    void armSilence();
    [[nodiscard]] std::string attemptText() const;
    [[nodiscard]] std::string requestBytes() const;
    [[nodiscard]] std::unique_ptr<AnswerReader> makeReader();
    void logForeignLine(const std::string& reason);

    StreamContext& context_;
    AttemptHost& host_;
    BackendPool& pool_;
    AttemptOrder order_;
    Deadline deadline_;
    BackendPool::ConnectionPtr connection_;
    std::unique_ptr<AnswerReader> reader_;
    Parser parser_;
    boost::beast::flat_buffer buffer_;
    std::string outgoing_;
    std::string refusalBody_;
    bool headerSeen_ = false;
    /** A byte of the request may have reached the backend server. */
    bool maybeStarted_ = false;
    bool reading_ = false;
    bool writing_ = false;
    bool paused_ = false;
    bool ended_ = false;
    bool closed_ = false;
};

} // namespace swiftlift::transport::internal
