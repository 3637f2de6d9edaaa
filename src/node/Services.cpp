#include "node/Services.h"

#include <utility>

namespace swiftlift::node {

namespace internal {

    class ConfigLogger {
    public:
        explicit ConfigLogger(Context& context)
            : context_(context)
        {
        }

        void operator()(const config::Accepted& effect)
        {
            write("accepted", effect.service, effect.revision, effect.author);
        }

        void operator()(const config::Withdrawn& effect)
        {
            write("withdrawn", effect.service, effect.revision, effect.author);
        }

        void operator()(const config::Rejected& effect)
        {
            write("rejected", effect.service, effect.offset, effect.author);
        }

        void operator()(const config::Repeated&) { }

        void operator()(const config::SnapshotPassed& effect)
        {
            if (!effect.agrees) {
                write("snapshot_differs", ServiceName {}, effect.offset, "");
            }
        }

        void operator()(const config::Restored& effect) { write("restored", ServiceName {}, effect.from, ""); }

    private:
        void write(const char* change, const ServiceName& service, Offset offset, const std::string& author)
        {
            context_.log(LogLineBuilder("config")
                             .with("change", change)
                             .with("service", service.value())
                             .with("offset", static_cast<std::int64_t>(offset.value()))
                             .with("author", author));
        }

        Context& context_;
    };

} // namespace internal

const StreamName& Services::stream()
{
    static const StreamName name { "config" };
    return name;
}

Services::Services(
    Context& context, Peers& peers, const LogHealth& health, routing::BackendTable& backends, DocumentListener listener)
    : context_(context)
    , peers_(peers)
    , health_(health)
    , backends_(backends)
    , listener_(std::move(listener))
    , snapshots_(snapshotInterval, context.settings().seed)
{
}

void Services::start() { follow(); }

void Services::follow() { context_.emit(Follow { stream(), fold_.readFrom() }); }

void Services::onRecords(const LogRecords& records)
{
    std::uint64_t offset = records.first.value();
    for (const auto& record : records.records) {
        const Offset expected = fold_.readFrom();
        std::vector<config::ConfigEffect> effects;
        const bool applied = fold_.apply(Offset { offset }, record, effects);
        onEffects(effects);
        if (!applied || fold_.readFrom() < expected) {
            follow();
            return;
        }
        ++offset;
    }
    if (records.end && !fold_.seeking() && fold_.nextOffset() >= *records.end) {
        caughtUp_ = true;
    }
}

void Services::onPeerRecords(const Records& records)
{
    std::uint64_t offset = records.first.value();
    for (const auto& record : records.records) {
        std::vector<config::ConfigEffect> effects;
        const bool applied = fold_.applyFromPeer(Offset { offset }, record, effects);
        onEffects(effects);
        if (!applied) {
            return;
        }
        ++offset;
    }
    if (records.records.empty() && records.first >= fold_.nextOffset()) {
        caughtUp_ = true;
    }
}

void Services::onExpired(Offset oldest)
{
    fold_.startFrom(oldest);
    caughtUp_ = false;
    follow();
}

void Services::onReadAsk(Incarnation from, Offset offset)
{
    if (offset >= fold_.nextOffset()) {
        peers_.send(from, Records { stream(), offset, {} });
        return;
    }
    config::RetainedRecords kept = fold_.recordsFrom(offset, peerAnswerBytes);
    peers_.send(from, Records { stream(), kept.first, std::move(kept.records) });
}

void Services::tick()
{
    const Instant now = context_.now();
    const bool reachable = health_.reachable(now);
    if (reachable && caughtUp_ && fold_.nextOffset().value() > 0 && snapshots_.due(now)) {
        context_.emit(Append { stream(), fold_.snapshot() });
    }
    if (!reachable && now >= nextReadAsk_) {
        nextReadAsk_ = now + readAskPeriod;
        if (const auto peer = peers_.bestReader()) {
            peers_.send(*peer, ReadAsk { stream(), fold_.nextOffset() });
        }
    }
}

void Services::onEffects(const std::vector<config::ConfigEffect>& effects)
{
    internal::ConfigLogger logger(context_);
    for (const auto& effect : effects) {
        std::visit(logger, effect);
        if (const auto* accepted = std::get_if<config::Accepted>(&effect)) {
            applyCurrentDocument(accepted->service);
        } else if (const auto* withdrawn = std::get_if<config::Withdrawn>(&effect)) {
            applyCurrentDocument(withdrawn->service);
        } else if (std::holds_alternative<config::SnapshotPassed>(effect)) {
            snapshots_.onSnapshot(context_.now());
        } else if (std::holds_alternative<config::Restored>(effect)) {
            documents_.clear();
            for (const auto& name : fold_.services()) {
                applyCurrentDocument(name);
            }
        }
    }
}

void Services::applyCurrentDocument(const ServiceName& name)
{
    const config::ServiceRevision* revision = fold_.current(name);
    std::vector<routing::BackendEntry> entries;
    if (revision == nullptr || !revision->document) {
        documents_.erase(name);
    } else {
        documents_[name] = std::make_shared<const settings::ServiceDocument>(*revision->document);
        listener_(*revision->document);
        for (const auto& backend : revision->document->backends) {
            entries.push_back({ backend.address, backend.domain });
        }
    }
    backends_.setBackends(name, entries, context_.now());
    watchBackends();
}

void Services::watchBackends()
{
    std::set<BackendId> models;
    std::set<BackendId> plain;
    for (const auto& [name, document] : documents_) {
        auto& kind = document->kind == settings::BackendKind::Model ? models : plain;
        for (const auto& backend : document->backends) {
            kind.insert(backend.address);
        }
    }
    context_.emit(WatchBackends { { models.begin(), models.end() }, { plain.begin(), plain.end() } });
}

ServiceDocumentPtr Services::find(const ServiceName& name) const
{
    const auto found = documents_.find(name);
    return found == documents_.end() ? nullptr : found->second;
}

} // namespace swiftlift::node
