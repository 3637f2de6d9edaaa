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

std::string RelayService::objectionToAll() const
{
    if (stopping_()) {
        return "stopping";
    }
    return relays_.size() >= maxRelays ? "too many relayed connections" : "";
}

std::string RelayService::objectionTo(const std::optional<ReachableServer>& server) const
{
    if (!server) {
        return "unknown backend server";
    }
    if (!server->getsRequests) {
        return "the backend server gets no new requests";
    }
    return links_.seemsUnreachable(server->domain) ? "the failure domain can't be reached from here either" : "";
}

void RelayService::on(const RelayRequested& event)
{
    const auto server = servers_.reachableServer(event.backend);
    const std::string general = objectionToAll();
    const std::string reason = general.empty() ? objectionTo(server) : general;
    context_.log(LogLineBuilder("relay")
                     .with("backend", event.backend.value())
                     .with("outcome", reason.empty() ? "accepted" : "refused")
                     .with("reason", reason)
                     .with("in_progress", static_cast<std::int64_t>(relays_.size())));
    context_.count("swiftlift_relays_total", { { "outcome", reason.empty() ? "accepted" : "refused" } });
    if (!reason.empty()) {
        context_.emit(AnswerRelay { event.relay, std::nullopt, reason, general.empty() });
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
