#include "node/VmRegistry.h"

#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

namespace swiftlift::node {

namespace internal {

    [[nodiscard]] std::string encodeVm(const CoreSettings& settings)
    {
        return nlohmann::json { { "domain", settings.domain.value() }, { "region", settings.region.value() } }.dump();
    }

    [[nodiscard]] std::optional<ListedVm> decodeVm(const std::string& address, const std::string& text)
    {
        const auto json = nlohmann::json::parse(text, nullptr, false);
        if (!json.is_object() || !json.contains("domain") || !json["domain"].is_string()) {
            return std::nullopt;
        }
        const auto region = json.find("region");
        const bool hasRegion = region != json.end() && region->is_string();
        return ListedVm { PeerAddress { address }, FailureDomain { json["domain"].get<std::string>() },
            Region { hasRegion ? region->get<std::string>() : std::string() }, false };
    }

} // namespace internal

const StreamName& VmRegistry::stream()
{
    static const StreamName name { "vms" };
    return name;
}

VmRegistry::VmRegistry(Context& context, Peers& peers)
    : context_(context)
    , peers_(peers)
{
}

void VmRegistry::start()
{
    startedAt_ = context_.now();
    context_.emit(Follow { stream(), {}, StreamKind::Keyed, pause_ });
}

void VmRegistry::onRecords(const KeyedRecords& records)
{
    if (records.whole) {
        vms_.clear();
    }
    for (const KeyedRecord& record : records.records) {
        const auto vm = record.value ? internal::decodeVm(record.key, *record.value) : std::nullopt;
        if (vm) {
            vms_[record.key] = *vm;
        } else {
            vms_.erase(record.key);
        }
    }
    std::vector<ListedVm> listed;
    addresses_.clear();
    list_.clear();
    for (const auto& [address, vm] : vms_) {
        listed.push_back(vm);
        addresses_.emplace_back(address);
        list_.push_back({ vm.address, vm.domain });
    }
    peers_.onVmList(listed);
}

void VmRegistry::tick(bool stopping)
{
    const Instant now = context_.now();
    if (pause_ != readPause && now - startedAt_ >= firstReadsTime) {
        pause_ = readPause;
        context_.emit(PaceReads { stream(), pause_ });
    }
    const std::string& address = context_.settings().peerAddress.value();
    if (stopping) {
        if (!std::exchange(unregistered_, true)) {
            context_.emit(Append { stream(), {}, address });
        }
        return;
    }
    if (registered() || now < nextRegister_) {
        return;
    }
    nextRegister_ = now + registerPeriod;
    context_.emit(Append { stream(), internal::encodeVm(context_.settings()), address });
}

} // namespace swiftlift::node
