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

StreamVersions::StreamVersions(Context& context, FleetDirectory& fleet, Listener listener)
    : context_(context)
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
    }
    if (recording_) {
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

void StreamVersions::search(CallId call, const ServiceName& service, const StreamId& stream, Duration maxAge)
{
    if (const auto known = stream.value().empty() ? std::nullopt : remembered(stream)) {
        listener_(call, FoundVersion { known, VersionSource::Remembered });
        return;
    }
    begin({ call, service, stream, maxAge });
}

void StreamVersions::begin(Search&& started)
{
    const std::uint64_t number = ++lastSearch_;
    Search& search = searches_.emplace(number, std::move(started)).first->second;
    const Instant now = context_.now();
    const bool reachable = fleet_.logReachable();
    search.check = fleet_.serverCheck().request();
    search.checkDeadline = now + (reachable ? checkTime + fleet_.serverCheck().period() : answerTime);
    search.memoryDeadline = now + memoryTime;
    if (std::holds_alternative<CallId>(search.asker)) {
        askKeepers(number, search, !reachable);
    }
}

void StreamVersions::askKeepers(std::uint64_t number, Search& search, bool infer)
{
    search.guessesAsked = infer;
    search.answerDeadline = context_.now() + answerTime;
    const bool named = !search.stream.value().empty();
    if (!named && !infer) {
        return;
    }
    const StreamId key = named ? search.stream : StreamId(std::to_string(number));
    for (const PeerAddress& keeper : streams::keepersOf(key, fleet_.vmList(), maxKeepersAsked)) {
        if (!isSelf(keeper)) {
            search.awaited.insert(keeper);
            context_.emit(SendPeer { keeper, Incarnation {},
                StreamVersionAsk { number, search.service, search.stream, search.maxAge, infer } });
        }
    }
    search.asked = search.awaited.size();
}

std::optional<FoundVersion> StreamVersions::conclude(std::uint64_t number, Search& search)
{
    const Instant now = context_.now();
    const CheckState check = fleet_.serverCheck().state(search.check);
    if (check == CheckState::Complete) {
        if (auto only = fleet_.versions().onlyVersion(search.service, search.maxAge, now)) {
            if (!search.awaited.empty() && now < search.memoryDeadline) {
                return std::nullopt;
            }
            return FoundVersion { std::move(only), VersionSource::OnlyVersion };
        }
    } else if (check == CheckState::Open && now < search.checkDeadline) {
        return std::nullopt;
    }
    // The log was believed to be in reach, so that no guesses were asked for.
    if (check != CheckState::Complete && !search.guessesAsked && std::holds_alternative<CallId>(search.asker)) {
        askKeepers(number, search, true);
    }
    if (!search.awaited.empty() && now < search.answerDeadline) {
        return std::nullopt;
    }
    return guessOf(search);
}

// A router that has seen another version itself knows better than a peer that has not.
FoundVersion StreamVersions::guessOf(const Search& search) const
{
    if (!search.guessesAsked || search.inferred.size() != 1) {
        return {};
    }
    const SoftwareVersion& guess = *search.inferred.begin();
    if (fleet_.versions().hasOther(search.service, guess, search.maxAge, context_.now())) {
        return {};
    }
    return { guess, VersionSource::PeersOnlyVersion };
}

void StreamVersions::concludeAll()
{
    std::vector<std::pair<Search, FoundVersion>> ended;
    for (auto entry = searches_.begin(); entry != searches_.end();) {
        const auto current = entry++;
        if (auto found = conclude(current->first, current->second)) {
            ended.emplace_back(std::move(current->second), std::move(*found));
            searches_.erase(current);
        }
    }
    for (const auto& [search, found] : ended) {
        finish(search, found);
    }
}

void StreamVersions::onListChecked() { concludeAll(); }

void StreamVersions::finish(const Search& search, FoundVersion found)
{
    found.asked = search.asked;
    found.answered = search.asked - search.awaited.size();
    if (const auto* asker = std::get_if<VersionAsker>(&search.asker)) {
        answer(*asker, found);
    } else {
        listener_(std::get<CallId>(search.asker), found);
    }
}

void StreamVersions::answer(const VersionAsker& asker, const FoundVersion& found)
{
    const bool known = found.source == VersionSource::Remembered;
    context_.emit(
        SendPeer { asker.address, asker.incarnation, StreamVersionAnswer { asker.search, found.version, known } });
}

void StreamVersions::on(const StreamsBegan& message)
{
    for (const auto& [stream, version] : message.streams) {
        kept_.add(stream, version, context_.now());
    }
}

void StreamVersions::on(const PeerReceived& event, const StreamVersionAsk& message)
{
    const VersionAsker asker { event.address, event.sender, message.search };
    const auto known = message.stream.value().empty() ? std::nullopt : remembered(message.stream);
    if (known || !message.infer || !fleet_.logReachable()) {
        answer(asker, { known, known ? VersionSource::Remembered : VersionSource::Unknown });
        return;
    }
    begin({ asker, message.service, message.stream, message.maxAge });
}

// What a peer infers never comes before what another one remembers: a router that has missed a version infers another.
void StreamVersions::on(const PeerReceived& event, const StreamVersionAnswer& message)
{
    const auto found = searches_.find(message.search);
    if (found == searches_.end() || found->second.awaited.erase(event.address) == 0) {
        return;
    }
    if (message.version && message.remembered) {
        const auto ended = searches_.extract(found);
        finish(ended.mapped(), { message.version, VersionSource::Keeper });
        return;
    }
    if (message.version) {
        found->second.inferred.insert(*message.version);
    }
    concludeAll();
}

// Without the log, no router can find out that there was only one version.
bool StreamVersions::keepersNeeded(bool several)
{
    if (fleet_.logReachable()) {
        logLostAt_.reset();
        return several;
    }
    logLostAt_ = logLostAt_.value_or(context_.now());
    return several || context_.now() - *logLostAt_ >= minOutage;
}

// Streams that began just before the second version registered may be taken up again, too, so all that are remembered
// are told then.
void StreamVersions::tellKeepers()
{
    const bool several = fleet_.versions().anyHasSeveral(streams::streamLifetime, context_.now());
    if (std::exchange(recording_, several) != several) {
        fleet_.versionRecords().setRecording(several);
        for (const auto& [stream, version] : own_.streams()) {
            fleet_.versionRecords().add(stream, version);
        }
    }
    const bool needed = keepersNeeded(several);
    if (std::exchange(telling_, needed) != needed) {
        context_.log(LogLineBuilder("stream_versions")
                         .with("told_to_peers", needed)
                         .with("several_versions", several)
                         .with("remembered", static_cast<std::int64_t>(own_.size())));
        untold_.clear();
        if (needed) {
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
    concludeAll();
}

} // namespace swiftlift::node
