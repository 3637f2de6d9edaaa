#include "link/LinkService.h"

#include <stdexcept>

#include "common/HttpServer.h"

namespace swiftlift::standins {

namespace internal {

    LinkAddresses readAddresses(const Json& entry)
    {
        LinkAddresses addresses;
        addresses.listen = parseEndpoint(entry.at("listen").get<std::string>());
        addresses.to = parseEndpoint(entry.at("to").get<std::string>());
        if (entry.contains("from")) {
            addresses.from = asio::ip::make_address(entry.at("from").get<std::string>());
        }
        return addresses;
    }

    CutMode readMode(const Json& value)
    {
        if (value == "drop") {
            return CutMode::Drop;
        }
        if (value == "reset") {
            return CutMode::Reset;
        }
        if (value == "hang") {
            return CutMode::Hang;
        }
        if (value == "refuse") {
            return CutMode::Refuse;
        }
        if (value == "keep_old") {
            return CutMode::KeepOld;
        }
        throw std::invalid_argument("\"drop\", \"reset\", \"hang\", \"refuse\" or \"keep_old\"");
    }

    const char* toString(CutMode mode)
    {
        switch (mode) {
        case CutMode::Drop:
            return "drop";
        case CutMode::Reset:
            return "reset";
        case CutMode::Hang:
            return "hang";
        case CutMode::Refuse:
            return "refuse";
        case CutMode::KeepOld:
            return "keep_old";
        }
        return "drop";
    }

} // namespace internal

LinkService::LinkService() { addControls(); }

void LinkService::addControls()
{
    controls().add("mode", [this](const Json& value, Json&) { mode_ = internal::readMode(value); });
    controls().add("add", [this](const Json& value, Json& reply) { addLinks(value, reply); });
    controls().add("heal", [this](const Json& value, Json&) { forEach(value, [](Link& link) { link.heal(); }); });
    controls().add("cut", [this](const Json& value, Json&) { forEach(value, [](Link& link) { link.cut(); }); });
    controls().add(
        "cut_one_way", [this](const Json& value, Json&) { forEach(value, [](Link& link) { link.cutForward(); }); });
    controls().add(
        "cut_other_way", [this](const Json& value, Json&) { forEach(value, [](Link& link) { link.cutBackward(); }); });
    controls().add("delay", [this](const Json& value, Json&) {
        for (const auto& [name, delay] : value.items()) {
            link(name).setDelay(Milliseconds(delay.get<double>()));
        }
    });
}

Link& LinkService::link(const std::string& name) const
{
    const auto found = links_.find(name);
    if (found == links_.end()) {
        throw std::invalid_argument("no link " + name);
    }
    return *found->second;
}

void LinkService::forEach(const Json& names, const std::function<void(Link&)>& change) const
{
    std::vector<Link*> known;
    for (const auto& name : names) {
        known.push_back(&link(name.get<std::string>()));
    }
    for (auto* one : known) {
        change(*one);
    }
}

void LinkService::addLinks(const Json& links, Json& reply)
{
    for (const auto& entry : links) {
        const auto name = entry.at("name").get<std::string>();
        if (links_.contains(name)) {
            throw std::invalid_argument("a link " + name + " stands already");
        }
        auto added = std::make_unique<Link>(*context_, internal::readAddresses(entry), mode_);
        added->setDelay(Milliseconds(entry.value("delay_ms", 0.0)));
        added->start();
        reply["links"][name] = added->audit().at("listening");
        links_.emplace(name, std::move(added));
    }
}

Awaitable<void> LinkService::serve(Exchange&) { co_return; }

Json LinkService::audit(const Exchange&) const
{
    Json links = Json::object();
    for (const auto& [name, one] : links_) {
        links[name] = one->audit();
    }
    return { { "links", std::move(links) }, { "mode", internal::toString(mode_) } };
}

} // namespace swiftlift::standins
