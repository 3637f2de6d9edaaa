#include "node/VersionRecords.h"

#include <algorithm>
#include <utility>

namespace swiftlift::node {

namespace internal {

    constexpr char keySeparator = '/';

    /** @return What all keys of the VM's incarnations begin with. */
    [[nodiscard]] std::string keyPrefix(const PeerAddress& vm) { return vm.value() + keySeparator; }

} // namespace internal

const StreamName& VersionRecords::stream()
{
    static const StreamName name { "stream-versions" };
    return name;
}

VersionRecords::VersionRecords(Context& context)
    : context_(context)
{
}

void VersionRecords::start() { context_.emit(Follow { stream(), {}, StreamKind::KeyedOnce, {} }); }

std::string VersionRecords::key() const
{
    return internal::keyPrefix(context_.settings().peerAddress) + toHex(context_.self().value())
        + internal::keySeparator + std::to_string(generation_);
}

std::vector<streams::VersionRecord> VersionRecords::onRecords(const KeyedRecords& records)
{
    const bool first = !std::exchange(known_, true);
    std::vector<streams::VersionRecord> read;
    std::size_t streamCount = 0;
    const std::string ownPrefix = internal::keyPrefix(context_.settings().peerAddress);
    for (const KeyedRecord& record : records.records) {
        auto decoded = record.value ? streams::decodeVersionRecord(*record.value) : std::nullopt;
        if (!decoded) {
            context_.count("swiftlift_unreadable_records_total", { { "what", "stream_versions" } });
            continue;
        }
        if (first && record.key.starts_with(ownPrefix)) {
            inherited_.push_back(record.key);
        }
        if (first) {
            streams::merge(published_, decoded->versions);
        }
        streamCount += decoded->streams.size();
        read.push_back(std::move(*decoded));
    }
    if (first) {
        inheritedUntil_ = context_.now() + streams::streamLifetime;
    }
    context_.log(LogLineBuilder("stream_records")
                     .with("change", "read")
                     .with("records", static_cast<std::int64_t>(read.size()))
                     .with("streams", static_cast<std::int64_t>(streamCount)));
    return read;
}

void VersionRecords::setVersions(const streams::ServiceVersions& versions)
{
    if (versions_ == versions) {
        return;
    }
    versions_ = versions;
    versionsChanged_ = true;
    // Servers of a new version get no requests before it is published.
    tick({});
}

// A write in flight may already have replaced the record that names the version.
bool VersionRecords::isPublished(const ServiceName& service, const SoftwareVersion& version) const
{
    const bool beingWithdrawn
        = pending_ && !pending_->removal && !streams::contains(pending_->versions, service, version);
    return streams::contains(published_, service, version) && !beingWithdrawn;
}

void VersionRecords::setRecording(bool recording)
{
    if (std::exchange(recording_, recording) && !recording) {
        streamsChanged_ = !streams_.empty();
        streams_.clear();
    }
}

void VersionRecords::add(const StreamId& stream, const SoftwareVersion& version)
{
    if (streams_.size() >= maxStreams) {
        dropExpired();
    }
    if (!recording_ || stream.value().empty() || stream.value().size() > maxIdBytes || streams_.size() >= maxStreams) {
        return;
    }
    const Recorded recorded { version, context_.now() + streams::streamLifetime };
    streamsChanged_ = streams_.insert_or_assign(stream, recorded).second || streamsChanged_;
}

void VersionRecords::onComplete(const StreamId& stream)
{
    if (const auto found = streams_.find(stream); found != streams_.end()) {
        found->second.until = std::min(found->second.until, context_.now() + completeLifetime);
    }
}

void VersionRecords::dropExpired()
{
    std::erase_if(streams_, [now = context_.now()](const auto& entry) { return entry.second.until <= now; });
}

void VersionRecords::tick(Duration period)
{
    const Instant now = context_.now();
    if (!known_ || pending_ || now < nextRetry_) {
        return;
    }
    if (versionsChanged_ || (streamsChanged_ && now >= nextWrite_)) {
        nextWrite_ = now + period;
        write();
    } else if (!replaced_.empty()) {
        removeKey(replaced_.front());
    } else if (!inherited_.empty() && now >= inheritedUntil_) {
        removeKey(inherited_.back());
    }
}

void VersionRecords::write()
{
    dropExpired();
    streams::VersionRecord record { versions_, {} };
    for (const auto& [stream, recorded] : streams_) {
        record.streams.emplace(stream, recorded.version);
    }
    if (std::exchange(versionsChanged_, false)) {
        context_.log(LogLineBuilder("stream_records")
                         .with("change", "write")
                         .with("services", static_cast<std::int64_t>(versions_.size()))
                         .with("streams", static_cast<std::int64_t>(streams_.size())));
    }
    streamsChanged_ = false;
    pending_ = Pending { key(), versions_ };
    context_.count("swiftlift_stream_records_written_total");
    context_.emit(Append { stream(), streams::encode(record), pending_->key });
}

void VersionRecords::removeKey(const std::string& key)
{
    pending_ = Pending { key, {}, true };
    context_.emit(Append { stream(), {}, key });
}

void VersionRecords::onAppended()
{
    if (!pending_) {
        return;
    }
    const Pending done = *std::exchange(pending_, std::nullopt);
    if (done.removal) {
        std::erase(replaced_, done.key);
        std::erase(inherited_, done.key);
    } else {
        published_ = done.versions;
    }
}

// Under the same key, a write that is executed late would replace a newer record by one that lacks a version.
void VersionRecords::onLogFailure()
{
    if (!pending_) {
        return;
    }
    const Pending failed = *std::exchange(pending_, std::nullopt);
    nextRetry_ = context_.now() + retryDelay;
    if (failed.removal) {
        return;
    }
    published_ = streams::common(published_, failed.versions);
    replaced_.push_back(failed.key);
    ++generation_;
    versionsChanged_ = true;
}

} // namespace swiftlift::node
