#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "swiftlift/node/Action.h"
#include "swiftlift/node/ProxyRequest.h"
#include "swiftlift/routing/Announcement.h"
#include "swiftlift/transport/HeaderFields.h"

namespace swiftlift::transport {

/** Routing information in the head of a backend server's answer. */
struct AnswerMarks {
    /** Id of the request that is answered. */
    std::string requestId;
    /** The answer has the signature header that only backend servers set. */
    bool genuine = false;
    /** The server states that it did not start the request. */
    bool notStarted = false;
    /** A different server now has the address of the intended one; it did not start the request. */
    bool otherServer = false;
    /** What the server states about itself. */
    routing::Announcement announcement;
};

/**
 * @brief Maps between routing information and the headers that callers and backend servers use for it.
 *
 * Only translates; takes no routing decisions.
 */
class ProxyDialect {
public:
    ProxyDialect() = default;
    virtual ~ProxyDialect() = default;
    ProxyDialect(const ProxyDialect&) = delete;
    ProxyDialect& operator=(const ProxyDialect&) = delete;

    /** @return The routing facts of a request for the core, or a refusal if its headers are incomplete or
     * contradictory. */
    [[nodiscard]] virtual std::variant<node::ProxyRequestInfo, node::Reply> facts(const RequestHead& request) const = 0;

    /**
     * @param fields The caller's header fields, without the hop-by-hop fields.
     * @param order The core's dispatch of the request.
     * @param lastEvent Id of the last event that the caller has received; empty: none received.
     * @return The header fields for the backend server.
     */
    [[nodiscard]] virtual HeaderFields towardsBackend(
        const HeaderFields& fields, const node::ProxyDispatch& order, std::optional<std::uint64_t> lastEvent) const = 0;

    /** @return The routing information in an answer's head. */
    [[nodiscard]] virtual AnswerMarks marks(const AnswerHead& answer) const = 0;

    /** @return The header fields that a refusal has besides its status. */
    [[nodiscard]] virtual HeaderFields ofRefusal(const node::Reply& refusal, const std::string& requestId) const = 0;
};

} // namespace swiftlift::transport
