#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "node/Explanations.h"
#include "swiftlift/base/Numbers.h"
#include "swiftlift/node/Action.h"
#include "swiftlift/node/Core.h"

namespace swiftlift::node {

/** Collects the fields of one decision's log line. */
class LogLineBuilder {
public:
    explicit LogLineBuilder(std::string kind) { line_.kind = std::move(kind); }

    LogLineBuilder& with(std::string name, std::string value)
    {
        line_.fields.push_back({ std::move(name), std::move(value) });
        return *this;
    }

    LogLineBuilder& with(std::string name, const char* value) { return with(std::move(name), std::string(value)); }

    LogLineBuilder& with(std::string name, std::int64_t value)
    {
        line_.fields.push_back({ std::move(name), value });
        return *this;
    }

    LogLineBuilder& with(std::string name, double value)
    {
        line_.fields.push_back({ std::move(name), value });
        return *this;
    }

    LogLineBuilder& with(std::string name, bool value)
    {
        line_.fields.push_back({ std::move(name), value });
        return *this;
    }

    [[nodiscard]] const LogLine& get() const noexcept { return line_; }

private:
    LogLine line_;
};

/** Shared by all components of the core: the settings, the time of the current event and the list of actions. */
class Context {
public:
    explicit Context(CoreSettings settings)
        : settings_(std::move(settings))
    {
    }

    /**
     * @brief Starts the handling of an event.
     * @param now Time of the event.
     * @param actions Receives the actions until the next event.
     */
    void begin(Instant now, Actions& actions)
    {
        now_ = now;
        actions_ = &actions;
    }

    [[nodiscard]] const CoreSettings& settings() const noexcept { return settings_; }
    [[nodiscard]] Incarnation self() const noexcept { return settings_.incarnation; }
    [[nodiscard]] Instant now() const noexcept { return now_; }
    [[nodiscard]] const Explanations& explanations() const noexcept { return explanations_; }

    void emit(Action action) { actions_->push_back(std::move(action)); }

    /** Emits the log line and remembers it as an explanation of its request. */
    void log(const LogLineBuilder& line)
    {
        LogLine taken = line.get();
        explanations_.remember(taken, now_);
        emit(std::move(taken));
    }

    /** Adds `add` to a counter metric. */
    void count(std::string name, std::vector<std::pair<std::string, std::string>> labels = {}, double add = 1)
    {
        emit(CountMetric { std::move(name), std::move(labels), add });
    }

    /** Sets a gauge metric. */
    void gauge(std::string name, double value, std::vector<std::pair<std::string, std::string>> labels = {})
    {
        emit(GaugeMetric { std::move(name), std::move(labels), value });
    }

private:
    CoreSettings settings_;
    Instant now_ {};
    Actions* actions_ = nullptr;
    Explanations explanations_;
};

using swiftlift::toHex;

/** @return The incarnations as hex numbers, separated by spaces. */
[[nodiscard]] std::string toHex(const std::vector<Incarnation>& incarnations);
/** @return 32 hex digits; empty when `content` is std::nullopt. */
[[nodiscard]] std::string toHex(const std::optional<ContentDigest>& content);
/** @return `HOLDER/NUMBER`. */
[[nodiscard]] std::string toText(const GrantId& grant);
/** @return `ACCOUNT/BUDGET`. */
[[nodiscard]] std::string toText(const BudgetRef& budget);
/** @return `answered`, `not_run` or `unknown`. */
[[nodiscard]] const char* toText(Outcome outcome);
/** @return The duration in whole milliseconds, rounded toward zero. */
[[nodiscard]] std::int64_t toMilliseconds(Duration duration);
/** @return As above; -1, which stands for an unknown duration in log lines, for none. */
[[nodiscard]] std::int64_t toMilliseconds(const std::optional<Duration>& duration);

} // namespace swiftlift::node
