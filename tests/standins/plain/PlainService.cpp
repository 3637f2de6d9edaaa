#include "plain/PlainService.h"

#include "common/Text.h"

namespace swiftlift::standins {

namespace internal {

    Json callReply(const Exchange& exchange, std::uint64_t ran)
    {
        return { { "key", exchange.header("X-Request-Key") }, { "attempt", exchange.header("X-Attempt-Id") },
            { "result", "r" + toHex(hashOf(exchange.body())) }, { "run", ran } };
    }

} // namespace internal

PlainService::PlainService(const PlainSettings& settings)
    : settings_(settings)
    , load_([this] { return load(); })
{
    addControls();
}

void PlainService::addControls()
{
    gate_.addControls(controls());
    announcer_.addControls(controls());
    controls().addValue("leaving", leaving_);
    controls().addValue("refuse", refuse_);
    controls().addValue("call_ms", settings_.callMs);
    controls().addValue("load_lag_ms", settings_.loadLagMs);
    controls().add("break_after_effect", [this](const Json& value, Json&) {
        const auto count = value.is_boolean() ? (value.get<bool>() ? UINT64_MAX : 0) : value.get<std::uint64_t>();
        breaksLeft_ = count;
    });
}

void PlainService::start(asio::io_context& context) { load_.start(context); }

Json PlainService::load() const
{
    return { { "running", running_ }, { "waiting", 0 }, { "step_ms", settings_.callMs }, { "free_cache_tokens", 0 },
        { "models", Json::array() }, { "leaving", leaving_ } };
}

Awaitable<void> PlainService::serve(Exchange& exchange)
{
    const bool entered = co_await gate_.enter(exchange);
    if (!entered) {
        co_return;
    }
    if (exchange.path() == "/call" && exchange.isPost()) {
        co_await call(exchange);
    } else if (exchange.path() == "/load") {
        co_await exchange.answerJson(200, load_.seen(Milliseconds(settings_.loadLagMs)));
    }
}

bool PlainService::breaksOff()
{
    if (breaksLeft_ == 0) {
        return false;
    }
    if (breaksLeft_ != UINT64_MAX) {
        --breaksLeft_;
    }
    return true;
}

Awaitable<void> PlainService::call(Exchange& exchange)
{
    announcer_.onRequest(exchange);
    if (announcer_.turnsAway(exchange)) {
        ++rejected_;
        co_await exchange.answerError(503, "resting");
        co_return;
    }
    if (leaving_) {
        ++rejected_;
        co_await exchange.answerError(503, "leaving");
        co_return;
    }
    if (refuse_) {
        ++rejected_;
        co_await exchange.answerError(429, "full");
        co_return;
    }
    if (!announcer_.admits()) {
        ++rejected_;
        co_await exchange.answerError(503, "full");
        co_return;
    }
    const Announcer::Room room(announcer_, exchange);
    auto& calls = keys_[exchange.header("X-Request-Key")];
    co_await run(exchange, calls);
    if (breaksOff()) {
        exchange.drop();
        co_return;
    }
    const bool answerable = co_await gate_.leave(exchange);
    if (answerable) {
        co_await exchange.answerJson(200, internal::callReply(exchange, calls.ran));
    }
    if (!exchange.isClosed()) {
        ++calls.answered;
    }
}

Awaitable<void> PlainService::run(const Exchange& exchange, Calls& calls)
{
    ++calls.started;
    ++running_;
    calls.attempts.push_back(exchange.header("X-Attempt-Id"));
    // The effect comes about even if the caller has gone meanwhile.
    co_await sleepFor(Milliseconds(settings_.callMs));
    --running_;
    ++calls.ran;
    order_.push_back(exchange.header("X-Request-Key"));
}

Json PlainService::audit(const Exchange&) const
{
    Json keys = Json::object();
    for (const auto& [key, calls] : keys_) {
        keys[key] = { { "started", calls.started }, { "ran", calls.ran }, { "answered", calls.answered },
            { "attempts", calls.attempts } };
    }
    return { { "keys", std::move(keys) }, { "order", order_ }, { "rejected", rejected_ },
        { "arrivals_ms", announcer_.arrivals() }, { "falls", announcer_.falls() }, { "load", load() },
        { "bytes_in", byteCounts().in }, { "bytes_out", byteCounts().out } };
}

} // namespace swiftlift::standins
