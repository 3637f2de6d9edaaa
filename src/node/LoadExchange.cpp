#include "node/LoadExchange.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace swiftlift::node {

namespace {

    /** Number of routers in a domain from which on digests are sent less often. */
    constexpr std::size_t manyReporters = 50;
    /** Time added to the period of digests for each router above that number. */
    constexpr Duration periodPerReporter = std::chrono::milliseconds(4);
    /** Number of routers of a domain that get a digest while that domain's collector is not known. */
    constexpr std::size_t receiversPerDomain = 2;
    constexpr Duration metricsPeriod = std::chrono::seconds(1);
    /** Value of the age's metric while no digest is in force. */
    constexpr double noAge = -1;

    /** @return The next time after `due`. Times follow each other by the period on average, although ticks are late. */
    [[nodiscard]] Instant nextTime(Instant due, Duration period, Instant now)
    {
        return std::max(due + period, now + period / 2);
    }

    [[nodiscard]] bool contains(const std::vector<routing::LoadSender>& senders, Incarnation router)
    {
        return std::ranges::find(senders, router, &routing::LoadSender::router) != senders.end();
    }

} // namespace

LoadExchange::LoadExchange(Context& context, Peers& peers, routing::BackendTable& backends)
    : context_(context)
    , peers_(peers)
    , backends_(backends)
    , settings_(context.settings().loads)
    , view_(settings_.lifetime)
    , collected_(settings_.lifetime)
    , choice_(context.settings().domain, settings_.lifetime)
    , random_(context.settings().seed)
{
}

bool LoadExchange::isWanted() const
{
    return settings_.period > Duration::zero() && routerCount() >= settings_.minRouters;
}

// During a network partition most routers seem dead, but are still listed. The exchange goes on then.
std::size_t LoadExchange::routerCount() const
{
    const auto counts = peers_.membership().counts();
    return std::max(counts.alive, counts.listed) + 1;
}

void LoadExchange::tick(bool stopping)
{
    if (!isWanted()) {
        switchOff();
        return;
    }
    on_ = true;
    backends_.setFleetLoad(&view_);
    const Instant now = context_.now();
    if (now >= nextReport_) {
        nextReport_ = nextTime(nextReport_, settings_.period, now);
        report(stopping);
    }
    if (now >= nextDigest_) {
        nextDigest_ = nextTime(nextDigest_, digestPeriod(), now);
        sendDigests();
    }
    if (!view_.age(now)) {
        noteView(std::nullopt, "expired");
    }
    updateMetrics();
}

void LoadExchange::switchOff()
{
    if (!std::exchange(on_, false)) {
        return;
    }
    backends_.setFleetLoad(nullptr);
    view_ = routing::FleetLoad(settings_.lifetime);
    collected_.clear();
    collecting_ = false;
    noteView(std::nullopt, "few_routers");
    nextMetrics_ = {};
    updateMetrics();
}

void LoadExchange::report(bool stopping)
{
    const Instant now = context_.now();
    const auto collector = choice_.choose(candidates(stopping), now);
    auto loads = backends_.takeOwnLoads();
    routing::limitServers(loads);
    view_.onReported(loads);
    if (!collector) {
        return;
    }
    ++lastReport_;
    if (isOwnCollector()) {
        const CoreSettings& own = context_.settings();
        collected_.onReport({ context_.self(), own.peerAddress, own.domain }, lastReport_, std::move(loads), now);
        return;
    }
    peers_.send(*collector, LoadReport { lastReport_, std::move(loads) });
    choice_.onReported(now);
    countSent("report", 1);
}

std::vector<routing::CollectorCandidate> LoadExchange::candidates(bool stopping) const
{
    std::vector<routing::CollectorCandidate> candidates;
    for (const auto& [incarnation, bandwidth] : peers_.membership().neighbors()) {
        candidates.push_back({ incarnation, bandwidth });
    }
    if (!stopping && !peers_.membership().selfLeaving()) {
        candidates.push_back({ context_.self(), context_.settings().bandwidth });
    }
    return candidates;
}

Duration LoadExchange::digestPeriod() const
{
    const std::size_t reporters = collected_.reporters(context_.now()).size();
    const std::size_t extra = reporters - std::min(reporters, manyReporters);
    return settings_.period + static_cast<Duration::rep>(extra) * periodPerReporter;
}

// Without the last, empty digest the other collectors would count these routers for another lifetime, although they
// already report to another collector.
void LoadExchange::sendDigests()
{
    collected_.forgetOld(context_.now());
    const auto reporters = collected_.reporters(context_.now());
    if (reporters.empty() && !collecting_) {
        return;
    }
    collecting_ = !reporters.empty();
    ++lastDigest_;
    sendDomainDigest();
    sendFleetDigest(reporters);
}

// A collector that other routers have chosen, but that has itself chosen another, tells that one as well, so that the
// two know each other's reports.
void LoadExchange::sendDomainDigest()
{
    const Instant now = context_.now();
    const LoadDigest digest { DigestScope::Domain, lastDigest_, collected_.domainDigest(now),
        context_.settings().domain };
    const auto known = collected_.remoteCollectors(now);
    for (const auto& [router, address, domain] : known) {
        context_.emit(SendPeer { address, router, digest });
    }
    const auto drawn = drawReceivers(known);
    for (const PeerAddress& address : drawn) {
        context_.emit(SendPeer { address, Incarnation {}, digest });
    }
    const auto collector = choice_.collector();
    const bool toOwnCollector = collector && !isOwnCollector() && !contains(known, *collector);
    if (toOwnCollector) {
        peers_.send(*collector, digest);
    }
    countSent("domain_digest", known.size() + drawn.size() + (toOwnCollector ? 1 : 0));
}

std::vector<PeerAddress> LoadExchange::drawReceivers(const std::vector<routing::LoadSender>& known)
{
    std::vector<PeerAddress> drawn;
    for (const auto& [domain, addresses] : peers_.membership().remoteAddresses()) {
        if (std::ranges::find(known, domain, &routing::LoadSender::domain) == known.end()) {
            std::ranges::sample(addresses, std::back_inserter(drawn), receiversPerDomain, random_);
        }
    }
    return drawn;
}

void LoadExchange::sendFleetDigest(const std::vector<routing::LoadSender>& reporters)
{
    const LoadDigest digest { DigestScope::Fleet, lastDigest_, collected_.fleetDigest(context_.now()),
        context_.settings().domain };
    std::size_t messages = 0;
    for (const auto& [router, address, domain] : reporters) {
        if (router == context_.self()) {
            applyFleetDigest(router, digest.loads);
        } else {
            context_.emit(SendPeer { address, router, digest });
            ++messages;
        }
    }
    countSent("fleet_digest", messages);
}

void LoadExchange::on(const PeerReceived& event, const LoadReport& report)
{
    if (on_) {
        const FailureDomain& domain = context_.settings().domain;
        collected_.onReport({ event.sender, event.address, domain }, report.sequence, report.loads, context_.now());
    }
}

void LoadExchange::on(const PeerReceived& event, const LoadDigest& digest)
{
    if (!on_) {
        return;
    }
    if (digest.scope == DigestScope::Fleet) {
        onFleetDigest(event.sender, digest);
    } else {
        onDomainDigest(event, digest);
    }
}

void LoadExchange::onDomainDigest(const PeerReceived& event, const LoadDigest& digest)
{
    const DigestOrigin origin = digest.forwardedFor.value_or(DigestOrigin { event.sender, event.address });
    const routing::LoadSender from { origin.collector, origin.address, digest.domain };
    if (from.router == context_.self()) {
        return;
    }
    if (collecting_ || isOwnCollector()) {
        collected_.onDigest(from, digest.sequence, digest.loads, context_.now());
    }
    if (!isOwnCollector() && !digest.forwardedFor) {
        forwardToCollector(from, digest);
    }
}

void LoadExchange::forwardToCollector(const routing::LoadSender& from, LoadDigest digest)
{
    const auto collector = choice_.collector();
    if (!collector || *collector == from.router) {
        return;
    }
    digest.forwardedFor = DigestOrigin { from.router, from.address };
    peers_.send(*collector, std::move(digest));
    countSent("forwarded_digest", 1);
}

// Digests of a collector that this router no longer reports to lack this router's requests after a while.
void LoadExchange::onFleetDigest(Incarnation from, const LoadDigest& digest)
{
    const bool isLate = latestFleetDigest_ && latestFleetDigest_->collector == from
        && digest.sequence <= latestFleetDigest_->sequence;
    if (choice_.collector() != from || isLate) {
        return;
    }
    latestFleetDigest_ = FleetDigestId { from, digest.sequence };
    choice_.onDigest();
    applyFleetDigest(from, digest.loads);
}

void LoadExchange::applyFleetDigest(Incarnation from, const std::vector<routing::ServerLoadEntry>& loads)
{
    view_.onDigest(loads, context_.now());
    noteView(from, "digest");
}

void LoadExchange::noteView(std::optional<Incarnation> collector, const char* reason)
{
    const auto last = std::exchange(viewFrom_, collector);
    if (last == collector) {
        return;
    }
    const char* change = !last ? "gained" : (collector ? "changed" : "lost");
    const auto named = collector ? collector : last;
    context_.log(LogLineBuilder("load_view")
                     .with("change", change)
                     .with("collector", toHex(named->value()))
                     .with("reason", reason)
                     .with("routers", static_cast<std::int64_t>(routerCount()))
                     .with("servers", static_cast<std::int64_t>(view_.size())));
}

void LoadExchange::updateMetrics()
{
    const Instant now = context_.now();
    if (now < nextMetrics_) {
        return;
    }
    nextMetrics_ = now + metricsPeriod;
    const auto age = view_.age(now);
    const double seconds = age ? std::chrono::duration<double>(*age).count() : noAge;
    context_.gauge("swiftlift_load_view_age_seconds", seconds);
    context_.gauge("swiftlift_load_view_servers", age ? static_cast<double>(view_.size()) : 0);
    context_.gauge("swiftlift_load_reporters", static_cast<double>(collected_.reporters(now).size()));
}

void LoadExchange::countSent(const char* kind, std::size_t messages)
{
    if (messages > 0) {
        context_.count("swiftlift_load_messages_total", { { "kind", kind } }, static_cast<double>(messages));
    }
}

} // namespace swiftlift::node
