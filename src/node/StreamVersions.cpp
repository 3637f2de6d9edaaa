#include "node/StreamVersions.h"

#include <utility>

#include "swiftlift/streams/Keepers.h"

namespace swiftlift::node {

StreamVersions::StreamVersions(Context& context, const Peers& peers, const FleetDirectory& fleet, Listener listener)
    : context_(context)
    , peers_(peers)
    , fleet_(fleet)
    , listener_(std::move(listener))
    , own_(maxOwnStreams, streamLifetime)
    , kept_(maxKeptStreams, streamLifetime)
{
}

bool StreamVersions::isSelf(const PeerAddress& address) const { return address == context_.settings().peerAddress; }

bool StreamVersions::hasSeveral(const ServiceName& service, Duration maxAge) const
{
    return fleet_.versions().hasSeveral(service, maxAge, context_.now());
}

void StreamVersions::onBegan(const StreamId& stream, const SoftwareVersion& version)
{
    own_.add(stream, version, context_.now());
    if (telling_) {
        untold_.push_back({ stream, version });
    }
}

std::optional<SoftwareVersion> StreamVersions::remembered(const StreamId& stream)
{
    const auto own = own_.find(stream, context_.now());
    return own ? own : kept_.find(stream, context_.now());
}

// A router that can't read the log doesn't know of servers that have registered since. Where no router can, no stream
// began at such a server.
std::optional<SoftwareVersion> StreamVersions::onlyVersion(const ServiceName& service, Duration maxAge) const
{
    if (!fleet_.logReachable() && peers_.membership().logReachablePeer()) {
        return std::nullopt;
    }
    return fleet_.versions().onlyVersion(service, maxAge, context_.now());
}

VersionSearch StreamVersions::search(CallId call, const ServiceName& service, const StreamId& stream, Duration maxAge)
{
    if (const auto known = remembered(stream)) {
        return { false, known };
    }
    if (const auto running = pending_.find(stream); running != pending_.end()) {
        running->second.calls.push_back(call);
        return { true, std::nullopt };
    }
    Pending search { service, maxAge, { call }, {}, context_.now() + answerTime };
    for (const PeerAddress& keeper : streams::keepersOf(stream, fleet_.vmList(), keepersAsked)) {
        if (!isSelf(keeper)) {
            search.awaited.insert(keeper);
            context_.emit(SendPeer { keeper, Incarnation {}, StreamVersionAsk { service, stream, maxAge } });
        }
    }
    if (search.awaited.empty()) {
        return { false, onlyVersion(service, maxAge) };
    }
    pending_.emplace(stream, std::move(search));
    return { true, std::nullopt };
}

void StreamVersions::on(const StreamsBegan& message)
{
    for (const auto& [stream, version] : message.streams) {
        kept_.add(stream, version, context_.now());
    }
}

void StreamVersions::on(const PeerReceived& event, const StreamVersionAsk& message)
{
    const auto known = remembered(message.stream);
    const auto version = known ? known : onlyVersion(message.service, message.maxAge);
    context_.emit(SendPeer { event.address, event.sender, StreamVersionAnswer { message.stream, version } });
}

void StreamVersions::on(const PeerReceived& event, const StreamVersionAnswer& message)
{
    const auto found = pending_.find(message.stream);
    if (found == pending_.end()) {
        return;
    }
    found->second.awaited.erase(event.address);
    if (message.version) {
        finish(message.stream, message.version);
    } else if (found->second.awaited.empty()) {
        finish(message.stream, onlyVersion(found->second.service, found->second.maxAge));
    }
}

void StreamVersions::finish(const StreamId& stream, const std::optional<SoftwareVersion>& version)
{
    const auto finished = pending_.extract(stream);
    for (const CallId call : finished.mapped().calls) {
        listener_(call, version);
    }
}

void StreamVersions::finishOverdue()
{
    std::vector<StreamId> overdue;
    for (const auto& [stream, search] : pending_) {
        if (context_.now() >= search.deadline) {
            overdue.push_back(stream);
        }
    }
    for (const StreamId& stream : overdue) {
        const Pending& search = pending_.at(stream);
        finish(stream, onlyVersion(search.service, search.maxAge));
    }
}

// Streams that began just before the second version registered may be taken up again, too, so all that are remembered
// are told then.
void StreamVersions::tellKeepers()
{
    const bool several = fleet_.versions().anyHasSeveral(streamLifetime, context_.now());
    if (std::exchange(telling_, several) != several) {
        context_.log(LogLineBuilder("stream_versions")
                         .with("told_to_peers", several)
                         .with("remembered", static_cast<std::int64_t>(own_.size())));
        untold_.clear();
        if (several) {
            for (const auto& [stream, version] : own_.streams()) {
                untold_.push_back({ stream, version });
            }
        }
    }
    std::map<PeerAddress, StreamsBegan> messages;
    for (const StreamVersion& began : std::exchange(untold_, {})) {
        for (const PeerAddress& keeper : streams::keepersOf(began.stream, fleet_.vmList(), keepersTold)) {
            if (!isSelf(keeper)) {
                messages[keeper].streams.push_back(began);
            }
        }
    }
    for (auto& [keeper, message] : messages) {
        context_.emit(SendPeer { keeper, Incarnation {}, std::move(message) });
    }
}

void StreamVersions::tick()
{
    tellKeepers();
    finishOverdue();
}

} // namespace swiftlift::node
