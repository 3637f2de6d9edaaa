#include <thread>

#include "Errors.h"
#include "World.h"

namespace swiftlift::scenario {

namespace internal {

    Json names(const std::vector<BackendPlan>& backends)
    {
        Json list = Json::array();
        for (const auto& backend : backends)
            list.push_back(
                { { "name", backend.name }, { "domain", backend.domain }, { "address", backend.address.text() } });
        return list;
    }

    Json describe(const FleetPlan& plan)
    {
        Json vms = Json::array();
        for (const auto& vm : plan.vms)
            vms.push_back({ { "name", vm.name }, { "domain", vm.domain }, { "peer", vm.peer.text() } });
        return { { "region", plan.region }, { "domains", plan.domains }, { "vms", vms },
            { "engines", names(plan.engines) }, { "plains", names(plan.plains) } };
    }

    /** @return The processes that the arguments name. */
    std::vector<std::string> resolveAll(World& world, const Arguments& arguments)
    {
        if (arguments.count() == 0)
            throw BrokenScript("needs a name");
        std::vector<std::string> all;
        for (std::size_t i = 0; i < arguments.count(); ++i) {
            const std::vector<std::string> names = world.fleet().resolve(arguments.text(i, "name"));
            all.insert(all.end(), names.begin(), names.end());
        }
        return all;
    }

    /** A verb that does the same to each process that its arguments name. */
    Verb forEach(World& world, void (Fleet::*action)(const std::string&))
    {
        return [&world, action](const Arguments& arguments) -> Json {
            for (const auto& name : resolveAll(world, arguments))
                (world.fleet().*action)(name);
            return nullptr;
        };
    }

    Json stop(World& world, const Arguments& arguments)
    {
        int worst = 0;
        for (const auto& name : world.fleet().resolve(arguments.text(0, "name"))) {
            const auto seconds = arguments.real(1, "bound", static_cast<double>(longBound.count()) / 1000);
            worst = std::max(worst, world.fleet().stop(name, Milliseconds(static_cast<int>(seconds * 1000))));
        }
        return worst;
    }

    void addProcessVerbs(LuaRuntime& lua, World& world)
    {
        lua.add("start", forEach(world, &Fleet::start));
        lua.add("kill", [&world](const Arguments& arguments) -> Json {
            world.kill(resolveAll(world, arguments));
            return nullptr;
        });
        lua.add("freeze", forEach(world, &Fleet::freeze));
        lua.add("thaw", forEach(world, &Fleet::thaw));
        lua.add("stop", [&world](const Arguments& arguments) { return stop(world, arguments); });
        lua.add("running",
            [&world](const Arguments& arguments) -> Json { return world.fleet().running(arguments.text(0, "name")); });
        lua.add("replace", [&world](const Arguments& arguments) -> Json {
            const std::string name = arguments.text(0, "vm");
            world.kill({ name });
            world.fleet().start(name);
            return nullptr;
        });
    }

    /** A verb that does something to the links between two sides. */
    Verb betweenSides(World& world, void (Fleet::*action)(const std::string&, const std::string&))
    {
        return [&world, action](const Arguments& arguments) -> Json {
            (world.fleet().*action)(arguments.text(0, "one side"), arguments.text(1, "other side"));
            return nullptr;
        };
    }

    void addLinkVerbs(LuaRuntime& lua, World& world)
    {
        lua.add("cut", betweenSides(world, &Fleet::cut));
        lua.add("heal", betweenSides(world, &Fleet::heal));
        lua.add("cut_one_way", betweenSides(world, &Fleet::cutOneWay));
        lua.add("delay", [&world](const Arguments& arguments) -> Json {
            world.fleet().delay(
                arguments.text(0, "one side"), arguments.text(1, "other side"), arguments.real(2, "milliseconds", 0));
            return nullptr;
        });
    }

    Json outage(World& world, const Arguments& arguments)
    {
        Fields fields("outage", arguments.any(0).is_null() ? Json::object() : arguments.any(0));
        for (const char* name : { "log", "vm-list" }) {
            const std::string kind = fields.text(name == std::string("log") ? "log" : "vm_list", "");
            if (!kind.empty() && kind != "hang" && kind != "refuse")
                throw BrokenScript("outage: has to be hang or refuse");
            const Json value = kind == "hang" ? Json("hang") : Json(kind == "refuse");
            world.fleet().control(name, { { "outage", value } });
        }
        fields.nothingElse();
        return nullptr;
    }

    void addPlatformVerbs(LuaRuntime& lua, World& world)
    {
        lua.add("outage", [&world](const Arguments& arguments) { return outage(world, arguments); });
        lua.add("slow_log", [&world](const Arguments& arguments) {
            return world.fleet().control("log", { { "delay_ms", arguments.number(0, "milliseconds") } });
        });
        lua.add("lose_answers", [&world](const Arguments& arguments) {
            return world.fleet().control("log", { { "lose_next_answers", arguments.number(0, "count") } });
        });
        lua.add("late_appends", [&world](const Arguments& arguments) {
            return world.fleet().control("log",
                { { "late_appends_ms", arguments.number(0, "milliseconds") },
                    { "count", arguments.number(1, "count") } });
        });
        lua.add("list_as_leaving", [&world](const Arguments& arguments) -> Json {
            const Json leaving = arguments.any(1);
            world.fleet().listAsLeaving(arguments.text(0, "vm"), leaving.is_null() || leaving == Json(true));
            return nullptr;
        });
        lua.add("retain", [&world](const Arguments& arguments) {
            return world.fleet().control("log", { { "retain", arguments.number(0, "records") } });
        });
    }

} // namespace internal

void addFleetVerbs(LuaRuntime& lua, World& world)
{
    lua.add("fleet", [&world](const Arguments& arguments) {
        Fields fields("fleet", arguments.any(0).is_null() ? Json::object() : arguments.any(0));
        world.build(fields);
        return internal::describe(world.fleet().plan());
    });
    internal::addLinkVerbs(lua, world);
    lua.add("control", [&world](const Arguments& arguments) {
        return world.fleet().control(arguments.text(0, "stand-in"), arguments.table(1, "change"));
    });
    lua.add("audit_of",
        [&world](const Arguments& arguments) { return world.fleet().auditOf(arguments.text(0, "stand-in")); });
    internal::addProcessVerbs(lua, world);
    internal::addPlatformVerbs(lua, world);
}

} // namespace swiftlift::scenario
