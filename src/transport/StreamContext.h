#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "swiftlift/ring/Outbox.h"
#include "swiftlift/routing/LoadShedder.h"
#include "swiftlift/transport/StreamServer.h"
#include "transport/HeldBytes.h"
#include "transport/ReadPacer.h"

namespace swiftlift::transport::internal {

/** Objects and state shared by all parts of the streams thread. Used in that thread only. */
struct StreamContext {
    boost::asio::io_context& loop;
    StreamLimits& limits;
    DecisionInbox& decisions;
    /** Events that must not be dropped; sent once the decision thread's ring has space. */
    ring::Outbox<TaggedEvent> events;
    StreamObserver& observer;
    logging::JsonLog& log;
    ReadPacer pacer;
    Incarnation incarnation;
    StreamCounts counts;
    /** Bytes exchanged with callers and backend servers. */
    routing::LinkTraffic traffic;
    /** Lag of the last sweep: data in the sockets waits at least this long before it is read. */
    std::chrono::steady_clock::duration lag {};
    BackendForwarders forwarders {};
    /** Bytes that all connections hold. */
    std::shared_ptr<HeldTotal> held = std::make_shared<HeldTotal>();
    /** Bytes of large answers that are being collected. */
    std::shared_ptr<HeldTotal> largeAnswers = std::make_shared<HeldTotal>();
    /** Readers that wait until fewer bytes are held. */
    std::vector<std::weak_ptr<PacedReader>> postponed {};
    /** The reader that goes on although too many bytes are held, in all or of large answers. */
    std::weak_ptr<PacedReader> exempt {};
    /** When that reader last went on. */
    std::chrono::steady_clock::time_point exemptReadAt {};
    /** When a backend server to which this router is connected itself has sent something. */
    std::chrono::steady_clock::time_point backendsHeardAt {};

    /** @return Whether all connections together hold more bytes than they may. */
    [[nodiscard]] bool holdsTooMuch() const noexcept { return held->bytes > limits.heldBytes; }

    /** Time for which the exempt reader may receive nothing. */
    static constexpr std::chrono::milliseconds maxExemptStall { 200 };

    /** @return Whether an answer of which this much is collected is a large one. */
    [[nodiscard]] bool isLarge(std::size_t collected) const noexcept { return collected > limits.smallAnswerBytes; }

    /**
     * @return Whether the reader may collect more of its answer. While too many bytes are held, only one reader may, so
     * that readers which wait for each other's memory don't all time out; one whose server sends nothing more makes way
     * for the next. Large answers wait sooner, so that they leave memory for other requests.
     */
    [[nodiscard]] bool mayCollect(const std::shared_ptr<PacedReader>& reader)
    {
        const bool largeWaits = isLarge(reader->collectedBytes()) && largeAnswers->bytes > limits.answerBytes / 2;
        if (!holdsTooMuch() && !largeWaits) {
            return true;
        }
        const auto now = std::chrono::steady_clock::now();
        const bool stalls = now - exemptReadAt > maxExemptStall;
        if ((exempt.expired() || stalls) && held->bytes <= limits.heldBytes + limits.answerBytes) {
            exempt = reader;
        }
        const bool isExempt = exempt.lock() == reader;
        exemptReadAt = isExempt ? now : exemptReadAt;
        return isExempt;
    }

    /** @return Unsent bytes of a caller above which its backend server is not read. */
    [[nodiscard]] std::size_t pauseAboveBytes() const noexcept
    {
        return holdsTooMuch() ? limits.resumeBelowBytes : limits.pauseAboveBytes;
    }

    /** @return Where the backend server's address is reached; nullopt: the address is malformed. */
    [[nodiscard]] std::optional<Endpoint> endpointOf(const BackendAddress& address) const
    {
        return transport::endpointOf(forwarders, address);
    }
};

} // namespace swiftlift::transport::internal
