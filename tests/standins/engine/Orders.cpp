#include "engine/Orders.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

namespace swiftlift::standins {

namespace internal {

    const std::set<std::string> orderKinds
        = { "load_model", "unload_model", "load_adapter", "set_version", "set_role" };

    Json staleReply(std::uint64_t fencing) { return { { "error", "stale" }, { "fencing", fencing } }; }

} // namespace internal

Orders::Orders(const EngineSettings& settings)
    : checking_(settings.checkFencing != 0)
    , loadTime_(settings.loadMs)
    , models_(settings.models)
{
}

Awaitable<void> Orders::serve(Exchange& exchange)
{
    const auto order = Json::parse(exchange.body());
    const auto kind = order.at("kind").get<std::string>();
    const auto name = order.at("name").get<std::string>();
    const auto fencing = std::stoull(exchange.header("X-Fencing"));
    if (!internal::orderKinds.contains(kind)) {
        co_await exchange.answerError(400, "unknown kind");
        co_return;
    }
    if (!accept(kind, name, fencing)) {
        co_await exchange.answerJson(409, internal::staleReply(highestFencing_));
        co_return;
    }
    apply(kind, name);
    if (kind == "load_model" && !models_.contains(name) && loading_.insert(name).second) {
        weightStoreFree_ = std::max(weightStoreFree_, Clock::now()) + toClock(loadTime_);
        const auto executor = co_await asio::this_coro::executor;
        asio::co_spawn(executor, finishLoad(name, weightStoreFree_), asio::detached);
    }
    co_await exchange.answerJson(202, Json::object());
}

bool Orders::accept(const std::string& kind, const std::string& name, std::uint64_t fencing)
{
    const bool stale = fencing < highestFencing_;
    const bool accepted = !checking_ || !stale;
    seen_.push_back(
        { { "kind", kind }, { "name", name }, { "fencing", fencing }, { "stale", stale }, { "accepted", accepted } });
    highestFencing_ = std::max(highestFencing_, fencing);
    return accepted;
}

void Orders::apply(const std::string& kind, const std::string& name)
{
    if (kind == "unload_model") {
        models_.erase(name);
        loading_.erase(name);
    } else if (kind == "load_adapter") {
        adapters_.insert(name);
    } else if (kind == "set_version") {
        version_ = name;
    } else if (kind == "set_role") {
        role_ = name;
    }
}

Awaitable<void> Orders::finishLoad(std::string name, Clock::time_point ready)
{
    co_await sleepFor(ready - Clock::now());
    // An unload that came in between has taken the name away.
    if (loading_.erase(name) > 0) {
        models_.insert(name);
    }
}

Json Orders::audit() const
{
    return { { "seen", seen_ }, { "highest_fencing", highestFencing_ }, { "models", models_ }, { "loading", loading_ },
        { "adapters", adapters_ }, { "version", version_ }, { "role", role_ } };
}

} // namespace swiftlift::standins
