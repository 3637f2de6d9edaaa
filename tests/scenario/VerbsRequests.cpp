#include "Errors.h"
#include "Load.h"
#include "Measure.h"
#include "World.h"

namespace swiftlift::scenario {

namespace internal {

    constexpr double millisecondsPerSecond = 1000;

    Milliseconds seconds(double value)
    {
        return Milliseconds(static_cast<std::int64_t>(value * millisecondsPerSecond));
    }

    /** Reads what `send` and `load` have in common. */
    Call readCall(World& world, Fields& fields)
    {
        Call call;
        call.account = fields.text("account");
        call.service = fields.text("service");
        const auto known = world.accountKeys.find(call.account);
        call.key = fields.text("key", known == world.accountKeys.end() ? "" : known->second);
        call.idempotent = fields.flag("idempotent", true);
        call.stream = fields.flag("stream", false);
        call.maxTokens = fields.number("max_tokens", 16);
        call.priority = fields.text("priority", "");
        if (fields.has("deadline_ms"))
            call.deadlineMs = fields.number("deadline_ms");
        const auto service = world.services.find(call.service);
        call.model = service == world.services.end() || service->second.isModel;
        call.body = fields.any("body").is_null() ? "{}" : fields.any("body").dump();
        call.patience
            = seconds(fields.real("patience", static_cast<double>(longBound.count()) / millisecondsPerSecond));
        return call;
    }

    Json send(World& world, const Arguments& arguments)
    {
        Fields fields("send", arguments.table(0, "request"));
        Call call = readCall(world, fields);
        call.vm = fields.text("vm");
        call.router = world.fleet().vm(call.vm).callers;
        call.id = fields.text("id", "request-" + std::to_string(++world.drawnIds));
        call.attempt = static_cast<int>(fields.number("attempt", 1));
        call.prompt = fields.text("prompt", "draft a stitch plan for " + call.id);
        fields.nothingElse();
        return world.callers().send(std::move(call));
    }

    Json toJson(const Observation& observation)
    {
        const auto& [call, answer] = observation;
        return { { "id", call.id }, { "vm", call.vm }, { "status", answer.status },
            { "outcome", toText(answer.outcome) }, { "not_run", answer.notRun }, { "reason", answer.reason },
            { "detail", answer.detail }, { "text", answer.text }, { "tokens_seen", answer.tokensSeen },
            { "prompt_tokens", answer.promptTokens }, { "answer_tokens", answer.answerTokens },
            { "billed_tokens", answer.billedTokens }, { "retry_after_ms", answer.retryAfterMs },
            { "took_ms", millisecondsBetween(answer.sentAt, answer.endedAt) } };
    }

    Json wait(World& world, const Arguments& arguments)
    {
        const auto handle = static_cast<std::size_t>(arguments.number(0, "handle"));
        const double bound = arguments.real(1, "bound", 2 * static_cast<double>(longBound.count()) / 1000);
        const auto observation = world.callers().wait(handle, seconds(bound));
        if (!observation)
            throw ExpectationFailed("request " + std::to_string(handle) + " has not ended within its bound");
        return toJson(*observation);
    }

    LoadPlan readLoad(World& world, const Arguments& arguments)
    {
        Fields fields(arguments.verb(), arguments.table(0, "load"));
        LoadPlan plan;
        Json calls = fields.any("calls");
        if (!calls.is_array())
            throw BrokenScript("load: calls has to be a list of tables");
        for (const auto& entry : calls) {
            Fields callFields("load", entry);
            plan.models.push_back(readCall(world, callFields));
            callFields.nothingElse();
        }
        const Json from = fields.any("from");
        for (const auto& vm : world.fleet().plan().vms) {
            if (from.is_null() || std::find(from.begin(), from.end(), Json(vm.name)) != from.end())
                plan.routers.emplace_back(vm.name, vm.callers);
        }
        plan.rate = fields.real("rate", plan.rate);
        plan.duration = seconds(fields.real("seconds", 5));
        plan.retries = static_cast<int>(fields.number("retries", 0));
        plan.promptBytes = static_cast<int>(fields.number("prompt_bytes", plan.promptBytes));
        plan.prefixes = static_cast<int>(fields.number("prefixes", plan.prefixes));
        plan.prefixBytes = static_cast<int>(fields.number("prefix_bytes", plan.prefixBytes));
        plan.sharedPercent = static_cast<int>(fields.number("shared_percent", plan.sharedPercent));
        plan.skew = fields.real("skew", plan.skew);
        plan.places = static_cast<int>(fields.number("places", plan.places));
        plan.idPrefix = fields.text("ids", "load-" + std::to_string(++world.drawnIds)) + "-";
        plan.seed = world.seed() + world.drawnIds;
        fields.nothingElse();
        return plan;
    }

    Json toJson(const LoadCounts& counts)
    {
        return { { "sent", counts.sent }, { "answered", counts.answered }, { "refused", counts.refused },
            { "unknown", counts.unknown }, { "broken", counts.broken }, { "started_late", counts.startedLate } };
    }

    Json load(World& world, const Arguments& arguments)
    {
        return toJson(runLoad(readLoad(world, arguments), world.callers()));
    }

    Json startLoad(World& world, const Arguments& arguments)
    {
        return world.loads().start(readLoad(world, arguments), world.callers());
    }

    Json waitLoad(World& world, const Arguments& arguments)
    {
        return toJson(world.loads().wait(static_cast<std::size_t>(arguments.number(0, "handle"))));
    }

    Json measured(World& world, const Arguments& arguments)
    {
        constexpr double always = 86'400;
        Fields fields("measured", arguments.table(0, "window"));
        const auto handle = static_cast<std::size_t>(fields.number("load"));
        const Moment begin = world.loads().startedAt(handle);
        Window window;
        window.idPrefix = world.loads().idPrefix(handle);
        window.from = begin + seconds(fields.real("from", 0));
        window.to = begin + seconds(fields.real("to", always));
        if (const Json accounts = fields.any("accounts"); accounts.is_array())
            window.accounts = accounts.get<std::set<std::string>>();
        fields.nothingElse();
        return measure(world.callers().all(), window);
    }

} // namespace internal

void addRequestVerbs(LuaRuntime& lua, World& world)
{
    lua.add("send", [&world](const Arguments& arguments) { return internal::send(world, arguments); });
    lua.add("wait", [&world](const Arguments& arguments) { return internal::wait(world, arguments); });
    lua.add("load", [&world](const Arguments& arguments) { return internal::load(world, arguments); });
    lua.add("start_load", [&world](const Arguments& arguments) { return internal::startLoad(world, arguments); });
    lua.add("wait_load", [&world](const Arguments& arguments) { return internal::waitLoad(world, arguments); });
    lua.add("measured", [&world](const Arguments& arguments) { return internal::measured(world, arguments); });
    lua.add("tokens_seen", [&world](const Arguments& arguments) -> Json {
        return world.callers().tokensSeen(static_cast<std::size_t>(arguments.number(0, "handle")));
    });
}

} // namespace swiftlift::scenario
