#include <iostream>
#include <thread>

#include "Errors.h"
#include "World.h"
#include "swiftlift/transport/Hashing.h"

namespace swiftlift::scenario {

namespace internal {

    bool isTrue(const Json& value) { return !value.is_null() && value != Json(false); }

    Json expect(const Arguments& arguments)
    {
        if (!isTrue(arguments.any(0)))
            throw ExpectationFailed("expected: " + arguments.optionalText(1, "text").value_or("(not said)"));
        return arguments.any(0);
    }

    Json expectEqual(const Arguments& arguments)
    {
        if (arguments.any(0) != arguments.any(1))
            throw ExpectationFailed("expected: " + arguments.optionalText(2, "text").value_or("equal") + ": "
                + arguments.any(1).dump() + ", found " + arguments.any(0).dump());
        return nullptr;
    }

    AuditReport printAudit(World& world, const Arguments& arguments)
    {
        constexpr double usualBound = 60;
        const double bound = arguments.any(0).is_number() ? arguments.real(0, "bound", usualBound) : usualBound;
        AuditReport report = world.audit(Milliseconds(static_cast<std::int64_t>(bound * 1000)));
        std::cout << "audit " << report.toJson().dump() << '\n' << report.toTable();
        for (const auto& [mark, bills] : world.billsInFlight())
            std::cout << describe(mark, bills);
        std::cout << std::flush;
        return report;
    }

    /** A wanted count is a number, or `{min=, max=}`. */
    bool meets(std::int64_t value, const Json& wanted)
    {
        if (wanted.is_number())
            return value == wanted.get<std::int64_t>();
        return value >= wanted.value("min", value) && value <= wanted.value("max", value);
    }

    Json expectAudit(World& world, const Arguments& arguments)
    {
        const AuditReport report = printAudit(world, Arguments("expect_audit", Json::array()));
        const Json counts = arguments.table(0, "counts");
        std::string wrong;
        for (const auto& [name, wanted] : counts.items()) {
            if (!meets(report.value(name), wanted))
                wrong += " " + name + " is " + std::to_string(report.value(name)) + ", expected " + wanted.dump() + ";";
        }
        if (!wrong.empty())
            throw ExpectationFailed("audit:" + wrong);
        return report.toJson();
    }

    /** @return How often backend servers started the request, by their own records. */
    Json runsOf(World& world, const Arguments& arguments)
    {
        const auto key
            = transport::requestKey(AccountId(arguments.text(0, "account")), CallerRequestId(arguments.text(1, "id")));
        std::int64_t started = 0;
        for (const auto& run : world.fleet().backendRuns()[transport::toHex(key)])
            started += run.started;
        return started;
    }

} // namespace internal

void addCheckVerbs(LuaRuntime& lua, World& world)
{
    lua.add("expect", [](const Arguments& arguments) { return internal::expect(arguments); });
    lua.add("expect_equal", [](const Arguments& arguments) { return internal::expectEqual(arguments); });
    lua.add("audit", [&world](const Arguments& arguments) { return internal::printAudit(world, arguments).toJson(); });
    lua.add("expect_audit", [&world](const Arguments& arguments) { return internal::expectAudit(world, arguments); });
    lua.add("runs_of", [&world](const Arguments& arguments) { return internal::runsOf(world, arguments); });
    lua.add("bills_of", [&world](const Arguments& arguments) -> Json {
        const auto key
            = transport::requestKey(AccountId(arguments.text(0, "account")), CallerRequestId(arguments.text(1, "id")));
        const KeyBills bills = readLedgerTruth(world.fleet().plan().log).bills[key];
        return { { "counted", bills.counted }, { "given_back", bills.givenBack }, { "tokens", bills.tokens.value() } };
    });
    lua.add("bills_in_flight", [&world](const Arguments&) -> Json {
        Json all = Json::array();
        for (const auto& [mark, bills] : world.billsInFlight()) {
            for (const auto& bill : bills)
                all.push_back(bill.toJson());
        }
        return all;
    });
    lua.add("now_ms", [](const Arguments&) -> Json {
        return std::chrono::duration_cast<Milliseconds>(Clock::now().time_since_epoch()).count();
    });
    lua.add("look_again", [](const Arguments&) -> Json {
        std::this_thread::sleep_for(lookAgain);
        return nullptr;
    });
    lua.add("say", [](const Arguments& arguments) -> Json {
        std::cout << arguments.text(0, "text") << std::endl;
        return nullptr;
    });
}

} // namespace swiftlift::scenario
