#include <fstream>

#include "Errors.h"
#include "LogLines.h"
#include "World.h"
#include "swiftlift/settings/ServiceDocument.h"

namespace swiftlift::scenario {

namespace internal {

    std::vector<std::string> texts(const Arguments& arguments)
    {
        std::vector<std::string> result;
        for (std::size_t i = 0; i < arguments.count(); ++i)
            result.push_back(arguments.any(i).is_string() ? arguments.text(i, "word") : arguments.any(i).dump());
        return result;
    }

    /** @return `{status=, output=, json=}`; `json` only when the command printed JSON. */
    Json ctlResult(const std::pair<int, std::string>& end)
    {
        const auto& [status, output] = end;
        Json result = { { "status", status }, { "output", output } };
        if (Json json = Json::parse(output, nullptr, false); json.is_object())
            result["json"] = std::move(json);
        return result;
    }

    Json runCtl(World& world, const std::vector<std::string>& arguments) { return ctlResult(world.runCtl(arguments)); }

    Json runCtlOrFail(World& world, std::vector<std::string> arguments)
    {
        arguments.emplace_back("--json");
        Json result = runCtl(world, arguments);
        if (result["status"] != 0)
            throw ExpectationFailed("swiftliftctl " + arguments.front() + " fails: " + result["output"].dump());
        return result.value("json", Json::object());
    }

    Json createAccount(World& world, const Arguments& arguments)
    {
        const std::string account = arguments.text(0, "account");
        const std::string key = arguments.optionalText(1, "key").value_or("key-of-" + account);
        Json result = runCtlOrFail(world, { "account", "create", account, "--key", key });
        world.accountKeys[account] = key;
        return result;
    }

    Json topUp(World& world, const Arguments& arguments)
    {
        const std::string account = arguments.text(0, "account");
        const std::string budget = arguments.text(1, "budget");
        const std::int64_t tokens = arguments.number(2, "tokens");
        Json result = runCtlOrFail(world, { "top-up", account, budget, std::to_string(tokens) });
        world.purchases.push_back({ account, budget, tokens, Clock::now() });
        return result;
    }

    /** Durations and shares have to stand without quotes, so text does wherever YAML takes it for text then. */
    std::string scalarText(const Json& value)
    {
        constexpr const char* plainLetters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._%:/-";
        if (!value.is_string())
            return value.dump();
        const auto& text = value.get_ref<const std::string&>();
        const bool isPlain = !text.empty() && text.find_first_not_of(plainLetters) == std::string::npos;
        return isPlain ? text : value.dump();
    }

    /** Writes a table as YAML in flow style. */
    std::string yamlText(const Json& value)
    {
        if (!value.is_structured())
            return scalarText(value);
        std::string text;
        for (const auto& [name, field] : value.items()) {
            text += text.empty() ? "" : ", ";
            text += value.is_object() ? name + ": " + yamlText(field) : yamlText(field);
        }
        return value.is_object() ? "{ " + text + " }" : "[ " + text + " ]";
    }

    /** @return One line for each member of the document. */
    std::string yamlDocument(const Json& document)
    {
        std::string text;
        for (const auto& [name, field] : document.items())
            text += name + ": " + yamlText(field) + "\n";
        return text;
    }

    /** A table's document names the fleet's own backend servers unless it says otherwise. */
    std::string documentText(World& world, const std::string& service, const Json& given)
    {
        if (given.is_string())
            return given.get<std::string>();
        Json document = given;
        document["service"] = service;
        if (document.contains("backends"))
            return yamlDocument(document);
        const auto& plan = world.fleet().plan();
        for (const auto& backend : document.value("kind", "") == "plain" ? plan.plains : plan.engines)
            document["backends"].push_back({ { "address", backend.address.text() }, { "domain", backend.domain } });
        return yamlDocument(document);
    }

    void remember(World& world, const std::string& text)
    {
        Findings findings;
        const auto document = settings::parseServiceDocument(text, "document", findings);
        if (!document)
            return;
        PublishedService service;
        service.isModel = document->kind == settings::BackendKind::Model;
        service.callCost = document->limits.callCost.value();
        for (const auto& use : document->accounts)
            service.budgets[use.account.value()] = use.budget.value();
        world.services[document->service.value()] = std::move(service);
    }

    std::string writeDocument(World& world, const std::string& service, const std::string& text)
    {
        const auto path = world.folder() / (service + ".service.yaml");
        std::ofstream(path) << text;
        return path.string();
    }

    Json publish(World& world, const Arguments& arguments)
    {
        const std::string service = arguments.text(0, "service");
        const std::string text = documentText(world, service, arguments.any(1));
        Json result = runCtlOrFail(world, { "publish", writeDocument(world, service, text) });
        remember(world, text);
        return result;
    }

    /** As publish, for a script that looks at the outcome itself; options go on to the command. */
    Json tryPublish(World& world, const Arguments& arguments)
    {
        const std::string service = arguments.text(0, "service");
        const std::string text = documentText(world, service, arguments.any(1));
        std::vector<std::string> command { "publish", writeDocument(world, service, text), "--json" };
        for (std::size_t i = 2; i < arguments.count(); ++i)
            command.push_back(arguments.text(i, "option"));
        Json result = runCtl(world, command);
        if (result["status"] == 0)
            remember(world, text);
        return result;
    }

    Json status(World& world, const Arguments& arguments)
    {
        const auto& vm = world.fleet().vm(arguments.text(0, "vm"));
        std::string target = "/" + arguments.optionalText(1, "topic").value_or("status");
        if (const auto request = arguments.optionalText(2, "request"))
            target += "?request=" + *request;
        const HttpReply reply = exchange({ vm.operators, "GET", target, {}, {} }, longBound);
        if (!reply.ok())
            throw ExpectationFailed(vm.name + target + " can't be had: " + reply.error + reply.body);
        return Json::parse(reply.body, nullptr, false);
    }

    /** Lines of a router's log that are of one kind. */
    Json logged(World& world, const Arguments& arguments)
    {
        return linesOfKinds(world.fleet().printedBy(arguments.text(0, "vm")), { arguments.text(1, "kind") });
    }

} // namespace internal

void addOperatorVerbs(LuaRuntime& lua, World& world)
{
    lua.add("account", [&world](const Arguments& arguments) { return internal::createAccount(world, arguments); });
    lua.add("top_up", [&world](const Arguments& arguments) { return internal::topUp(world, arguments); });
    lua.add("publish", [&world](const Arguments& arguments) { return internal::publish(world, arguments); });
    lua.add("try_publish", [&world](const Arguments& arguments) { return internal::tryPublish(world, arguments); });
    lua.add("status", [&world](const Arguments& arguments) { return internal::status(world, arguments); });
    lua.add("logged", [&world](const Arguments& arguments) { return internal::logged(world, arguments); });
    lua.add("start_ctl",
        [&world](const Arguments& arguments) -> Json { return world.startCtl(internal::texts(arguments)); });
    lua.add("wait_ctl", [&world](const Arguments& arguments) {
        return internal::ctlResult(world.waitForCtl(static_cast<std::size_t>(arguments.number(0, "handle"))));
    });
    lua.add("write_document", [&world](const Arguments& arguments) -> Json {
        const std::string service = arguments.text(0, "service");
        const std::string text = internal::documentText(world, service, arguments.any(1));
        return internal::writeDocument(world, arguments.text(2, "name"), text);
    });
    lua.add(
        "ctl", [&world](const Arguments& arguments) { return internal::runCtl(world, internal::texts(arguments)); });
}

} // namespace swiftlift::scenario
