#include <algorithm>

#include "Errors.h"
#include "Fleet.h"

namespace swiftlift::scenario {

namespace internal {

    bool isSide(const std::string& side, const std::string& name, const std::string& domain)
    {
        return side == name || side == domain;
    }

} // namespace internal

void Fleet::configureLinks()
{
    Json links = Json::array();
    for (const auto& link : plan_.links)
        links.push_back({ { "name", link.name }, { "listen", link.listen.text() }, { "to", link.target.text() },
            { "delay_ms", link.delayMs } });
    control("link", { { "add", links } });
}

void Fleet::configureVmList()
{
    Json vms = Json::array();
    for (const auto& vm : plan_.vms)
        vms.push_back({ { "peer", vm.peer.text() }, { "domain", vm.domain }, { "region", plan_.region },
            { "state", leaving_.contains(vm.name) ? "leaving" : "live" } });
    control("vm-list", { { "set", vms } });
}

void Fleet::listAsLeaving(const std::string& vm, bool leaving)
{
    if (leaving)
        leaving_.insert(vm);
    else
        leaving_.erase(vm);
    configureVmList();
}

Json Fleet::linksFrom(const std::string& from, const std::string& to) const
{
    Json names = Json::array();
    for (const auto& link : plan_.links) {
        if (internal::isSide(from, link.from, link.fromDomain) && internal::isSide(to, link.to, link.toDomain))
            names.push_back(link.name);
    }
    return names;
}

Json Fleet::linksBetween(const std::string& one, const std::string& other) const
{
    Json names = linksFrom(one, other);
    for (const auto& name : linksFrom(other, one)) {
        if (std::find(names.begin(), names.end(), name) == names.end())
            names.push_back(name);
    }
    if (names.empty())
        throw BrokenScript("no link between " + one + " and " + other);
    return names;
}

void Fleet::cut(const std::string& one, const std::string& other)
{
    control("link", { { "cut", linksBetween(one, other) } });
}

void Fleet::heal(const std::string& one, const std::string& other)
{
    control("link", { { "heal", linksBetween(one, other) } });
}

void Fleet::cutOneWay(const std::string& from, const std::string& to)
{
    control("link", { { "cut_one_way", linksFrom(from, to) }, { "cut_other_way", linksFrom(to, from) } });
}

void Fleet::delay(const std::string& one, const std::string& other, double milliseconds)
{
    Json delays = Json::object();
    for (const auto& name : linksBetween(one, other))
        delays[name.get<std::string>()] = milliseconds;
    control("link", { { "delay", delays } });
}

} // namespace swiftlift::scenario
