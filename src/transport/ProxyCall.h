#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "swiftlift/node/ProxyRequest.h"
#include "swiftlift/transport/ProxyDialect.h"
#include "transport/CallerConnection.h"
#include "transport/ProxyAnswerReaders.h"
#include "transport/StreamContext.h"

namespace swiftlift::transport::internal {

/** A caller's request that is passed on as it came: its bytes, and what its caller has been given. */
class ProxyCall {
public:
    ProxyCall(StreamContext& context, const ProxyDialect& dialect, CallId id, RequestHead head, std::string body,
        std::string requestId, CallerConnection& caller);

    /** @return The request as a backend server is sent it. */
    [[nodiscard]] std::string requestFor(const node::ProxyDispatch& order) const;

    /** The reader of the present attempt's answer. */
    void readBy(std::shared_ptr<ProxyAnswerReader> reader) { reader_ = std::move(reader); }

    /** Writes one event; the first one of all attempts is preceded by the head of its answer. */
    void passEvent(std::string&& event);

    /** The present attempt's answer is whole: writes what of it has not been written. */
    void passEnd();

    /** The present attempt's answer is a failure: keeps it. */
    void keepFailure();
    /** Writes the failure that was kept. */
    void passFailure();

    /** Writes a refusal; breaks the connection off where an answer has begun. */
    void finish(const node::Reply& reply);

    void callerDisconnected() noexcept { caller_.reset(); }
    /** @return Whether the caller's connection has ended, as the system knows it now. */
    [[nodiscard]] bool callerHasLeft() const noexcept { return !caller_ || caller_->ended(); }
    /** @return Whether the caller takes its answer more slowly than it comes. */
    [[nodiscard]] bool callerIsSlow() const noexcept;

    [[nodiscard]] CallId id() const noexcept { return id_; }
    [[nodiscard]] const std::string& requestId() const noexcept { return requestId_; }
    /** @return Whether a backend server has been sent it. */
    [[nodiscard]] bool offered() const noexcept { return reader_ != nullptr; }
    [[nodiscard]] std::uint64_t events() const noexcept { return events_; }
    [[nodiscard]] std::optional<std::uint64_t> lastEvent() const noexcept { return lastEvent_; }

private:
    void observeEvent();

    StreamContext& context_;
    const ProxyDialect& dialect_;
    CallId id_;
    RequestHead head_;
    std::string body_;
    std::string requestId_;
    std::shared_ptr<CallerConnection> caller_;
    std::shared_ptr<ProxyAnswerReader> reader_;
    std::shared_ptr<ProxyAnswerReader> failure_;
    std::uint64_t events_ = 0;
    std::optional<std::uint64_t> lastEvent_;
    std::chrono::steady_clock::time_point arrived_;
    std::chrono::steady_clock::time_point lastPart_;
};

/** Writes a refusal, its status and what it tells besides. */
void writeRefusal(
    CallerConnection& caller, const ProxyDialect& dialect, const node::Reply& refusal, const std::string& requestId);

} // namespace swiftlift::transport::internal
