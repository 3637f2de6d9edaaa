#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "swiftlift/node/ProxyRequest.h"
#include "swiftlift/transport/ProxyDialect.h"
#include "transport/CallerConnection.h"
#include "transport/HeldBytes.h"
#include "transport/ProxyAnswerReaders.h"
#include "transport/StreamContext.h"

namespace swiftlift::transport::internal {

/** A caller's proxied request: its head and body, and the state of its answer. */
class ProxyCall {
public:
    ProxyCall(StreamContext& context, const ProxyDialect& dialect, CallId id, RequestHead head, std::string body,
        std::string requestId, CallerConnection& caller);

    /** @return The bytes of the request to the backend server. */
    [[nodiscard]] std::string backendRequest(const node::ProxyDispatch& order) const;

    /** Sets the reader of the current attempt's answer. */
    void setReader(std::shared_ptr<ProxyAnswerReader> reader) { reader_ = std::move(reader); }

    /** Forwards an event to the caller; the first event of all attempts follows the head of its answer. */
    void forwardEvent(std::string&& event);

    /** Writes the rest of the current attempt's answer, which is complete. */
    void forwardEnd();

    /** Stores the current attempt's answer, which is a failure. */
    void storeFailure();
    /** Writes the stored failure; closes the connection if an answer has begun or no failure is stored. */
    void forwardFailure();

    /** Writes a refusal; closes the connection if an answer has begun. */
    void finish(const node::Reply& reply);

    void callerDisconnected() noexcept { caller_.reset(); }
    /** @return Whether the caller has disconnected, even if the event loop has not processed that yet. */
    [[nodiscard]] bool callerHasDisconnected() const noexcept { return !caller_ || caller_->closedByPeer(); }
    /** @return Whether so much of the answer is unsent that reading from the backend server has to pause. */
    [[nodiscard]] bool callerIsSlow() const noexcept;

    [[nodiscard]] CallId id() const noexcept { return id_; }
    [[nodiscard]] const std::string& requestId() const noexcept { return requestId_; }
    /** @return Whether the request has been dispatched to a backend server. */
    [[nodiscard]] bool dispatched() const noexcept { return reader_ != nullptr; }
    /** @return Number of events that were forwarded. */
    [[nodiscard]] std::uint64_t events() const noexcept { return events_; }
    /** @return Id of the last forwarded event; empty if there is none. */
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
    std::chrono::steady_clock::time_point lastEventTime_;
    /** The request's body and the stored failure. */
    HeldBytes held_;
};

/** Writes a refusal with its status, the dialect's header fields and its reason as body. */
void writeRefusal(
    CallerConnection& caller, const ProxyDialect& dialect, const node::Reply& refusal, const std::string& requestId);

} // namespace swiftlift::transport::internal
