#include "transport/PlatformReports.h"

#include <charconv>

#include <nlohmann/json.hpp>

namespace swiftlift::transport::internal {

namespace {

    using Json = nlohmann::json;

    constexpr int statusAccepted = 202;
    constexpr int hexadecimal = 16;

    std::string textField(const Json& json, const char* name)
    {
        const auto field = json.find(name);
        return field != json.end() && field->is_string() ? field->get<std::string>() : std::string();
    }

    template <typename Number> Number numberField(const Json& json, const char* name)
    {
        const auto field = json.find(name);
        return field != json.end() && field->is_number() ? field->get<Number>() : Number {};
    }

    bool flagField(const Json& json, const char* name)
    {
        const auto field = json.find(name);
        return field != json.end() && field->is_boolean() && field->get<bool>();
    }

    /** @return The array field `name` of a JSON object; null if there is none. */
    const Json* arrayField(const Json& json, const char* name)
    {
        if (!json.is_object()) {
            return nullptr;
        }
        const auto field = json.find(name);
        return field != json.end() && field->is_array() ? &*field : nullptr;
    }

    std::optional<node::CacheEvent> parseCacheEvent(const Json& json)
    {
        if (!json.is_object()) {
            return std::nullopt;
        }
        const std::string kind = textField(json, "kind");
        const std::string prefix = textField(json, "prefix");
        node::CacheEvent event;
        event.sequence = numberField<std::uint64_t>(json, "seq");
        const char* end = prefix.data() + prefix.size();
        const auto parsed = std::from_chars(prefix.data(), end, event.prefixHash, hexadecimal);
        if (prefix.empty() || parsed.ptr != end || (kind != "stored" && kind != "evicted")) {
            return std::nullopt;
        }
        event.kind = kind == "stored" ? node::CacheEventKind::Stored : node::CacheEventKind::Evicted;
        return event;
    }

} // namespace

std::optional<node::VmListRead> parseVmList(const std::string& text)
{
    const Json json = Json::parse(text, nullptr, false);
    const Json* vms = arrayField(json, "vms");
    if (vms == nullptr) {
        return std::nullopt;
    }
    node::VmListRead list;
    for (const auto& vm : *vms) {
        if (!vm.is_object() || textField(vm, "peer").empty()) {
            continue;
        }
        list.vms.push_back({ PeerAddress(textField(vm, "peer")), FailureDomain(textField(vm, "domain")),
            Region(textField(vm, "region")), textField(vm, "state") == "leaving" });
    }
    return list;
}

node::BackendLoad parseLoad(const BackendId& backend, const std::string& text)
{
    node::BackendLoad load;
    load.backend = backend;
    const Json json = Json::parse(text, nullptr, false);
    if (!json.is_object()) {
        return load;
    }
    load.reachable = true;
    load.running = numberField<std::uint32_t>(json, "running");
    load.waiting = numberField<std::uint32_t>(json, "waiting");
    load.stepMilliseconds = numberField<double>(json, "step_ms");
    load.leaving = flagField(json, "leaving");
    load.generation = numberField<std::uint64_t>(json, "generation");
    if (const Json* models = arrayField(json, "models")) {
        for (const auto& model : *models) {
            if (model.is_string()) {
                load.models.push_back(model.get<std::string>());
            }
        }
    }
    return load;
}

std::optional<CacheEventsPage> parseCacheEvents(const std::string& text)
{
    const Json json = Json::parse(text, nullptr, false);
    const Json* events = arrayField(json, "events");
    if (events == nullptr) {
        return std::nullopt;
    }
    CacheEventsPage page;
    page.next = numberField<std::uint64_t>(json, "next");
    for (const auto& entry : *events) {
        if (const auto event = parseCacheEvent(entry)) {
            page.events.push_back(*event);
        }
    }
    return page;
}

node::OrderAnswered parseOrderAnswer(const BackendId& backend, int status, const std::string& text)
{
    node::OrderAnswered answered;
    answered.backend = backend;
    answered.accepted = status == statusAccepted;
    if (const Json json = Json::parse(text, nullptr, false); json.is_object()) {
        answered.fencing = numberField<std::uint64_t>(json, "fencing");
    }
    return answered;
}

} // namespace swiftlift::transport::internal
