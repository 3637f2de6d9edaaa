#include "node/EvacuationDirectory.h"

#include <string>

#include "swiftlift/fleet/FleetCodec.h"

namespace swiftlift::node {

using fleet::EvacuationChange;

const StreamName& EvacuationDirectory::peerStream()
{
    static const StreamName name { "evacuations" };
    return name;
}

EvacuationDirectory::EvacuationDirectory(Context& context, Peers& peers, UnreadableRecords& unreadable)
    : context_(context)
    , peers_(peers)
    , unreadable_(unreadable)
{
}

std::vector<EvacuationChange> EvacuationDirectory::onRecords(const KeyedRecords& records)
{
    known_ = true;
    std::vector<EvacuationChange> changes = records.whole ? applyAll(records) : applyChanges(records);
    evacuations_.advance(records.next);
    logChanges(changes, "log");
    return changes;
}

bool EvacuationDirectory::isReadable(const KeyedRecord& record)
{
    Findings findings;
    if (!record.value || context_.settings().fleetCodec->isEvacuation(record.key, *record.value, findings)) {
        return true;
    }
    unreadable_.add("evacuation", record.key, findings);
    return false;
}

std::vector<EvacuationChange> EvacuationDirectory::applyAll(const KeyedRecords& records)
{
    const fleet::FleetCodec& codec = *context_.settings().fleetCodec;
    std::set<FailureDomain> evacuated;
    for (const KeyedRecord& record : records.records) {
        const auto domain = codec.evacuatedDomain(record.key);
        if (domain && (isReadable(record) || evacuations_.contains(*domain))) {
            evacuated.insert(*domain);
        }
    }
    for (const UnreadableRecord& record : records.unreadable) {
        if (const auto domain = codec.evacuatedDomain(record.key); domain && evacuations_.contains(*domain)) {
            evacuated.insert(*domain);
        }
    }
    return evacuations_.replace(records.next, evacuated);
}

std::vector<EvacuationChange> EvacuationDirectory::applyChanges(const KeyedRecords& records)
{
    std::vector<EvacuationChange> changes;
    for (const KeyedRecord& record : records.records) {
        const auto domain = context_.settings().fleetCodec->evacuatedDomain(record.key);
        if (!domain || !isReadable(record)) {
            continue;
        }
        if (const auto change = evacuations_.apply(record.offset, *domain, record.value.has_value())) {
            changes.push_back(*change);
        }
    }
    return changes;
}

std::vector<EvacuationChange> EvacuationDirectory::onPeerRecords(const Records& records)
{
    known_ = true;
    std::set<FailureDomain> evacuated;
    for (const std::string& domain : records.records) {
        evacuated.insert(FailureDomain { domain });
    }
    std::vector<EvacuationChange> changes = evacuations_.replace(records.first, evacuated);
    logChanges(changes, "peer");
    return changes;
}

void EvacuationDirectory::onReadAsk(Incarnation from, Offset offset)
{
    if (!known_ || evacuations_.position() < offset) {
        return;
    }
    Records state { peerStream(), evacuations_.position(), {} };
    for (const FailureDomain& domain : evacuations_.domains()) {
        state.records.push_back(domain.value());
    }
    peers_.send(from, std::move(state));
}

void EvacuationDirectory::askPeer(Incarnation peer)
{
    const Offset from { known_ ? evacuations_.position().value() + 1 : 0 };
    peers_.send(peer, ReadAsk { peerStream(), from });
}

void EvacuationDirectory::logChanges(const std::vector<EvacuationChange>& changes, const char* source)
{
    for (const EvacuationChange& change : changes) {
        context_.log(LogLineBuilder("evacuation")
                         .with("domain", change.domain.value())
                         .with("change", change.evacuated ? "begun" : "ended")
                         .with("source", source)
                         .with("read_to", static_cast<std::int64_t>(evacuations_.position().value())));
    }
    if (!changes.empty()) {
        context_.gauge("swiftlift_evacuated_domains", static_cast<double>(evacuations_.domains().size()));
    }
}

} // namespace swiftlift::node
