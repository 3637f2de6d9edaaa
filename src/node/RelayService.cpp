#include "node/RelayService.h"

#include <utility>

namespace swiftlift::node {

RelayService::RelayService(
    Context& context, const ServerDirectory& servers, BackendLinks& links, std::function<bool()> stopping)
    : context_(context)
    , servers_(servers)
    , links_(links)
    , stopping_(std::move(stopping))
{
}

std::string RelayService::objectionToServer(const std::optional<ReachableServer>& server)
{
    if (!server) {
        return "unknown backend server";
    }
    return server->getsRequests ? "" : "the backend server gets no new requests";
}

std::string RelayService::objectionToRelaying(const std::optional<ReachableServer>& server) const
{
    if (stopping_()) {
        return "stopping";
    }
    if (server && links_.seemsUnreachable(server->domain)) {
        return "the failure domain can't be reached from here either";
    }
    return relays_.size() >= maxRelays ? "too many relayed connections" : "";
}

void RelayService::on(const RelayRequested& event)
{
    const auto server = servers_.reachableServer(event.backend);
    const std::string relaying = objectionToRelaying(server);
    const std::string reason = relaying.empty() ? objectionToServer(server) : relaying;
    context_.log(LogLineBuilder("relay")
                     .with("backend", event.backend.value())
                     .with("outcome", reason.empty() ? "accepted" : "refused")
                     .with("reason", reason)
                     .with("in_progress", static_cast<std::int64_t>(relays_.size())));
    context_.count("swiftlift_relays_total", { { "outcome", reason.empty() ? "accepted" : "refused" } });
    if (!reason.empty()) {
        context_.emit(AnswerRelay { event.relay, std::nullopt, reason, relaying.empty() });
        return;
    }
    relays_[event.relay] = event.backend;
    context_.emit(AnswerRelay { event.relay, server->address });
}

void RelayService::on(const RelayEnded& event)
{
    const auto ended = relays_.extract(event.relay);
    if (!ended) {
        return;
    }
    context_.log(LogLineBuilder("relay_ended")
                     .with("backend", ended.mapped().value())
                     .with("bytes", static_cast<std::int64_t>(event.bytes))
                     .with("detail", event.detail));
    if (event.failure != ConnectFailure::None) {
        links_.onRelayedConnectFailed(ended.mapped(), event.failure);
    }
}

} // namespace swiftlift::node
