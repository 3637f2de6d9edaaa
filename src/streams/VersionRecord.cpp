#include "swiftlift/streams/VersionRecord.h"

#include "streams.pb.h"

namespace swiftlift::streams {

void merge(ServiceVersions& into, const ServiceVersions& from)
{
    for (const auto& [service, versions] : from) {
        into[service].insert(versions.begin(), versions.end());
    }
}

ServiceVersions common(const ServiceVersions& left, const ServiceVersions& right)
{
    ServiceVersions both;
    for (const auto& [service, versions] : left) {
        for (const SoftwareVersion& version : versions) {
            if (contains(right, service, version)) {
                both[service].insert(version);
            }
        }
    }
    return both;
}

bool contains(const ServiceVersions& versions, const ServiceName& service, const SoftwareVersion& version)
{
    const auto found = versions.find(service);
    return found != versions.end() && found->second.contains(version);
}

std::string encode(const VersionRecord& record)
{
    proto::streams::VersionRecord message;
    for (const auto& [service, versions] : record.versions) {
        auto& entry = *message.add_services();
        entry.set_service(service.value());
        for (const SoftwareVersion& version : versions) {
            entry.add_versions(version.value());
        }
    }
    std::map<SoftwareVersion, proto::streams::BegunStreams*> begun;
    for (const auto& [stream, version] : record.streams) {
        auto& entry = begun[version];
        if (entry == nullptr) {
            entry = message.add_begun();
            entry->set_version(version.value());
        }
        entry->add_streams(stream.value());
    }
    return message.SerializeAsString();
}

std::optional<VersionRecord> decodeVersionRecord(std::string_view bytes)
{
    proto::streams::VersionRecord message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return std::nullopt;
    }
    VersionRecord record;
    for (const auto& entry : message.services()) {
        auto& versions = record.versions[ServiceName(entry.service())];
        for (const auto& version : entry.versions()) {
            versions.emplace(version);
        }
    }
    for (const auto& entry : message.begun()) {
        for (const auto& stream : entry.streams()) {
            record.streams.emplace(stream, SoftwareVersion(entry.version()));
        }
    }
    return record;
}

} // namespace swiftlift::streams
