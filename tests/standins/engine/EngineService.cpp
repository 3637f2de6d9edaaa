#include "engine/EngineService.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "engine/Answer.h"
#include "engine/Lines.h"

namespace swiftlift::standins {

namespace internal {

    constexpr Milliseconds longestCatchUp { 10 };
    constexpr unsigned lowestPriority = 2;

    std::uint64_t numberOr(const std::string& text, std::uint64_t fallback)
    {
        return text.empty() ? fallback : std::stoull(text);
    }

    Json toJson(const KeyRecord& record)
    {
        return { { "started", record.started }, { "completed", record.completed }, { "cancelled", record.cancelled },
            { "broken", record.broken }, { "tokens", record.tokens }, { "attempts", record.attempts } };
    }

} // namespace internal

EngineService::EngineService(EngineSettings settings)
    : settings_(std::move(settings))
    , events_(Milliseconds(settings_.eventLagMs), settings_.eventGap, settings_.seed)
    , batch_(settings_, events_)
    , orders_(settings_)
    , load_([this] { return load(); })
{
    addControls();
}

void EngineService::addControls()
{
    gate_.addControls(controls());
    announcer_.addControls(controls());
    controls().addValue("leaving", leaving_);
    controls().addValue("refuse", refuse_);
    controls().addValue("cross_lines", crossLines_);
    controls().addValue("answer_delay_ms", answerDelayMs_);
    controls().addValue("late_done", lateDoneMs_);
    crash().addControls(controls());
    controls().addValue("step_ms", settings_.stepMs);
    controls().addValue("load_lag_ms", settings_.loadLagMs);
    controls().add("fail_after_tokens", [this](const Json& value, Json&) {
        failAfterTokens_ = value.get<std::uint64_t>();
        failCount_ = std::max<std::uint64_t>(failCount_, 1);
    });
    controls().addValue("count", failCount_);
    controls().add(
        "event_lag_ms", [this](const Json& value, Json&) { events_.setLag(Milliseconds(value.get<double>())); });
    controls().add("event_gap", [this](const Json& value, Json&) { events_.setGap(value.get<double>()); });
    controls().add("check_fencing", [this](const Json& value, Json&) { orders_.setChecking(value.get<bool>()); });
}

void EngineService::start(asio::io_context& context)
{
    asio::co_spawn(context, runSteps(), asio::detached);
    load_.start(context);
}

Awaitable<void> EngineService::runSteps()
{
    auto stepEnd = Clock::now();
    while (true) {
        if (batch_.isIdle()) {
            co_await waitFor(work_);
            stepEnd = Clock::now();
            continue;
        }
        // Short delays of the machine are made up for; after a long one, steps don't come in a burst.
        const auto earliest = Clock::now() - toClock(internal::longestCatchUp);
        const auto begin = std::max({ stepEnd, earliest, gate_.frozenUntil() });
        stepEnd = begin + toClock(batch_.beginStep());
        co_await sleepFor(stepEnd - Clock::now());
        if (Clock::now() < gate_.frozenUntil()) {
            co_await sleepFor(gate_.frozenUntil() - Clock::now());
        }
        batch_.endStep();
    }
}

Json EngineService::load() const
{
    return { { "running", batch_.running() }, { "waiting", batch_.waiting() }, { "step_ms", batch_.lastStep().count() },
        { "free_cache_tokens", batch_.freeTokens() }, { "models", orders_.models() }, { "leaving", leaving_ } };
}

Awaitable<void> EngineService::serve(Exchange& exchange)
{
    const bool entered = co_await gate_.enter(exchange);
    if (!entered) {
        co_return;
    }
    if (exchange.path() == "/generate" && exchange.isPost()) {
        co_await generate(exchange);
    } else if (exchange.path() == "/load") {
        co_await exchange.answerJson(200, load_.seen(Milliseconds(settings_.loadLagMs)));
    } else if (exchange.path() == "/cache-events") {
        co_await exchange.answerJson(200, events_.read(exchange.number("from", 0)));
    } else if (exchange.path() == "/orders" && exchange.isPost()) {
        co_await orders_.serve(exchange);
    }
}

std::uint64_t EngineService::takeBreak(std::uint64_t from)
{
    if (failCount_ == 0) {
        return UINT64_MAX;
    }
    --failCount_;
    return from + failAfterTokens_;
}

EngineService::Output EngineService::makeOutput(const Exchange& exchange)
{
    const auto body = Json::parse(exchange.body());
    const auto maxTokens = body.at("max_tokens").get<std::uint64_t>();
    auto sequence = std::make_shared<Sequence>();
    sequence->prompt = body.at("prompt").get<std::string>();
    const auto priority = internal::numberOr(exchange.header("X-Priority"), 1);
    sequence->priority = std::min(static_cast<unsigned>(priority), internal::lowestPriority);
    sequence->promptTokens = promptTokenCount(sequence->prompt);
    sequence->answerTokens = answerTokenCount(sequence->prompt, maxTokens);
    const auto from = internal::numberOr(exchange.header("X-Resume-From"), 0);
    sequence->computed = std::min(from, sequence->answerTokens);
    const auto written = sequence->computed;
    return { .key = exchange.header("X-Request-Key"),
        .attempt = exchange.header("X-Attempt-Id"),
        .sequence = std::move(sequence),
        .written = written,
        .breakAt = UINT64_MAX,
        .crossLines = crossLines_ };
}

Awaitable<void> EngineService::generate(Exchange& exchange)
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
    auto output = makeOutput(exchange);
    if (refuse_ || !batch_.add(output.sequence)) {
        ++rejected_;
        co_await exchange.answerError(429, "full");
        co_return;
    }
    auto& record = keys_[output.key];
    ++record.started;
    record.attempts.push_back(output.attempt);
    output.sequence->record = &record;
    output.breakAt = takeBreak(output.written);
    work_.notify();
    if (crash().happensOn(output.sequence->prompt)) {
        co_await crash().run(exchange);
    } else {
        co_await stream(exchange, output);
    }
    batch_.remove(output.sequence);
}

void EngineService::onRestart()
{
    ++crashes_;
    batch_.clearCache();
}

Awaitable<void> EngineService::stream(Exchange& exchange, Output& output)
{
    const auto sequence = output.sequence;
    co_await exchange.sleep(Milliseconds(answerDelayMs_));
    const bool answerable = co_await gate_.leave(exchange);
    if (answerable) {
        co_await exchange.startStream();
    }
    while (!exchange.isClosed()) {
        co_await writeTokens(exchange, output);
        if (output.written >= output.breakAt) {
            ++sequence->record->broken;
            exchange.drop();
            co_return;
        }
        if (output.written >= sequence->answerTokens) {
            break;
        }
        if (output.written == sequence->computed) {
            co_await exchange.wait(sequence->changed);
        }
    }
    co_await finish(exchange, output);
}

Awaitable<void> EngineService::writeTokens(Exchange& exchange, Output& output)
{
    const bool answerable = co_await gate_.leave(exchange);
    if (!answerable) {
        co_return;
    }
    const Lines lines(output.key, output.attempt);
    const auto& sequence = *output.sequence;
    const auto limit = std::min(sequence.computed, output.breakAt);
    std::string data;
    for (; output.written < limit; ++output.written) {
        if (output.crossLines) {
            data += lines.strays(output.written);
            output.crossLines = false;
        }
        data += lines.token(output.written, answerToken(sequence.prompt, output.written));
    }
    co_await exchange.writeChunk(std::move(data));
}

Awaitable<void> EngineService::finish(Exchange& exchange, const Output& output)
{
    const auto sequence = output.sequence;
    co_await exchange.sleep(Milliseconds(lateDoneMs_));
    const bool answerable = co_await gate_.leave(exchange);
    if (answerable) {
        const Lines lines(output.key, output.attempt);
        co_await exchange.writeChunk(
            lines.done(sequence->promptTokens, sequence->answerTokens, sequence->cachedTokens));
        co_await exchange.endStream();
    }
    if (exchange.isClosed()) {
        ++sequence->record->cancelled;
    } else {
        ++sequence->record->completed;
    }
}

Json EngineService::audit(const Exchange&) const
{
    const BatchTotals& totals = batch_.totals();
    Json sums = { { "started", totals.started }, { "prompt_tokens", totals.promptTokens },
        { "cached_prompt_tokens", totals.cachedPromptTokens }, { "answer_tokens", totals.answerTokens } };
    Json keys = Json::object();
    for (const auto& [key, record] : keys_) {
        keys[key] = internal::toJson(record);
    }
    return { { "keys", std::move(keys) }, { "totals", std::move(sums) }, { "rejected", rejected_ },
        { "arrivals_ms", announcer_.arrivals() }, { "crashes", crashes_ }, { "orders", orders_.audit() },
        { "load", load() }, { "bytes_in", byteCounts().in }, { "bytes_out", byteCounts().out } };
}

} // namespace swiftlift::standins
