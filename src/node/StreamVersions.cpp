#include "node/StreamVersions.h"

#include <utility>

#include "swiftlift/streams/Keepers.h"

namespace swiftlift::node {

const char* toText(VersionSource source) noexcept
{
    switch (source) {
    case VersionSource::Unknown:
        return "unknown";
    case VersionSource::Remembered:
        return "remembered";
    case VersionSource::Keeper:
        return "keeper";
    case VersionSource::PeersOnlyVersion:
        return "peers_only_version";
    case VersionSource::OnlyVersion:
        return "only_version";
    }
    return "";
}

StreamVersions::StreamVersions(Context& context, const Peers& peers, FleetDirectory& fleet, Listener listener)
    : context_(context)
    , peers_(peers)
    , fleet_(fleet)
    , listener_(std::move(listener))
    , own_(maxOwnStreams, streams::streamLifetime)
    , kept_(maxKeptStreams, streams::streamLifetime)
{
}

bool StreamVersions::isSelf(const PeerAddress& address) const { return address == context_.settings().peerAddress; }

void StreamVersions::onBegan(const StreamId& stream, const SoftwareVersion& version)
{
    own_.add(stream, version, context_.now());
    if (telling_) {
        untold_.push_back({ stream, version });
        fleet_.versionRecords().add(stream, version);
    }
}

void StreamVersions::onComplete(const StreamId& stream) { fleet_.versionRecords().onComplete(stream); }

void StreamVersions::onRead(const std::map<StreamId, SoftwareVersion>& streams)
{
    for (const auto& [stream, version] : streams) {
        kept_.add(stream, version, context_.now());
    }
}

std::optional<SoftwareVersion> StreamVersions::remembered(const StreamId& stream)
{
    const auto own = own_.find(stream, context_.now());
    return own ? own : kept_.find(stream, context_.now());
}

// A router that can't read the log doesn't know of servers that have registered since. Where no router can, no stream
// began at such a server.
FoundVersion StreamVersions::onlyVersion(const ServiceName& service, Duration maxAge) const
{
    if (!fleet_.logReachable() && peers_.membership().logReachablePeer()) {
        return {};
    }
    const auto version = fleet_.versions().onlyVersion(service, maxAge, context_.now());
    return { version, version ? VersionSource::OnlyVersion : VersionSource::Unknown };
}

std::optional<FoundVersion> StreamVersions::search(
    CallId call, const ServiceName& service, const StreamId& stream, Duration maxAge)
{
    if (const auto known = remembered(stream)) {
        return FoundVersion { known, VersionSource::Remembered };
    }
    if (const auto running = pending_.find(stream); running != pending_.end()) {
        running->second.calls.push_back(call);
        return std::nullopt;
    }
    Pending search { service, maxAge, { call }, {}, 0, context_.now() + answerTime };
    for (const PeerAddress& keeper : streams::keepersOf(stream, fleet_.vmList(), keepersAsked)) {
        if (!isSelf(keeper)) {
            search.awaited.insert(keeper);
            context_.emit(SendPeer { keeper, Incarnation {}, StreamVersionAsk { service, stream, maxAge } });
        }
    }
    search.asked = search.awaited.size();
    if (search.awaited.empty()) {
        return onlyVersion(service, maxAge);
    }
    pending_.emplace(stream, std::move(search));
    return std::nullopt;
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
    const auto version = known ? known : onlyVersion(message.service, message.maxAge).version;
    context_.emit(SendPeer {
        event.address, event.sender, StreamVersionAnswer { message.stream, version, known.has_value() } });
}

void StreamVersions::on(const PeerReceived& event, const StreamVersionAnswer& message)
{
    const auto found = pending_.find(message.stream);
    if (found == pending_.end()) {
        return;
    }
    found->second.awaited.erase(event.address);
    if (message.version) {
        finish(message.stream,
            { message.version, message.remembered ? VersionSource::Keeper : VersionSource::PeersOnlyVersion });
    } else if (found->second.awaited.empty()) {
        finish(message.stream, onlyVersion(found->second.service, found->second.maxAge));
    }
}

void StreamVersions::finish(const StreamId& stream, FoundVersion found)
{
    const auto finished = pending_.extract(stream);
    found.asked = finished.mapped().asked;
    found.answered = found.asked - finished.mapped().awaited.size();
    for (const CallId call : finished.mapped().calls) {
        listener_(call, found);
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
    const bool several = fleet_.versions().anyHasSeveral(streams::streamLifetime, context_.now());
    if (std::exchange(telling_, several) != several) {
        context_.log(LogLineBuilder("stream_versions")
                         .with("told_to_peers", several)
                         .with("remembered", static_cast<std::int64_t>(own_.size())));
        untold_.clear();
        fleet_.versionRecords().setRecording(several);
        if (several) {
            for (const auto& [stream, version] : own_.streams()) {
                untold_.push_back({ stream, version });
                fleet_.versionRecords().add(stream, version);
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
