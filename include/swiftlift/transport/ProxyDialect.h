#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "swiftlift/node/Action.h"
#include "swiftlift/node/ProxyRequest.h"
#include "swiftlift/transport/HeaderFields.h"

namespace swiftlift::transport {

/** What a backend server's answer says of itself. */
struct AnswerMarks {
    /** Of the request that it answers. */
    std::string requestId;
    /** It bears the signature that only backend servers give. */
    bool genuine = false;
    /** The server says that it did not start the request. */
    bool notStarted = false;
    /** Another server than the one that was meant has the address; it did not start the request. */
    bool otherServer = false;
};

/** How callers and backend servers say what concerns routing: names of headers. Translates and decides nothing. */
class ProxyDialect {
public:
    ProxyDialect() = default;
    virtual ~ProxyDialect() = default;
    ProxyDialect(const ProxyDialect&) = delete;
    ProxyDialect& operator=(const ProxyDialect&) = delete;

    /** @return What the core has to know of a request; the refusal of one that says too little or too much. */
    [[nodiscard]] virtual std::variant<node::ProxyRequestInfo, node::Reply> facts(const RequestHead& request) const = 0;

    /**
     * @param fields What the caller sent, without what concerned its connection alone.
     * @param order What the core ordered.
     * @param lastEvent The last event that the caller has; nothing: it has none.
     * @return What the backend server is sent.
     */
    [[nodiscard]] virtual HeaderFields towardsBackend(
        const HeaderFields& fields, const node::ProxyDispatch& order, std::optional<std::uint64_t> lastEvent) const = 0;

    [[nodiscard]] virtual AnswerMarks marks(const AnswerHead& answer) const = 0;

    /** @return What a refusal tells its caller beside its status. */
    [[nodiscard]] virtual HeaderFields ofRefusal(const node::Reply& refusal, const std::string& requestId) const = 0;
};

} // namespace swiftlift::transport
