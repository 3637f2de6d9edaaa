#include "swiftlift/logging/JsonLog.h"

#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <thread>

#include <easylogging++.h>
#include <nlohmann/json.hpp>

#include "swiftlift/ring/Inbox.h"

INITIALIZE_EASYLOGGINGPP

namespace swiftlift::logging {

namespace {

    using Json = nlohmann::ordered_json;

    /** Maximum wait of the writing thread for new lines, after which it also checks whether it has to stop. */
    constexpr std::chrono::milliseconds idleWait { 500 };
    /**
     * How long lines are collected for one write. Writing each line separately costs a wake-up and four system calls
     * per line, half of the total cost of a request.
     */
    constexpr std::chrono::milliseconds batchTime { 50 };

    /** A formatted line that is queued for writing. */
    struct Line {
        Level level = Level::Info;
        std::string text;
    };

    std::string_view toText(Level level) noexcept
    {
        switch (level) {
        case Level::Debug:
            return "debug";
        case Level::Info:
            return "info";
        case Level::Warning:
            return "warning";
        case Level::Error:
            return "error";
        }
        return "info";
    }

    std::string toHexText(std::uint64_t number)
    {
        std::array<char, 17> text {};
        std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(number));
        return text.data();
    }

} // namespace

struct JsonLog::State {
    explicit State(JsonLogSettings initialSettings)
        : settings(std::move(initialSettings))
        , minLevel(settings.level)
        , inbox(settings.capacity)
    {
    }

    /** @brief Configures the logging library to write to the file or to standard output. */
    void open();
    /** @brief Main loop of the writing thread. */
    void run();
    /** @brief Writes all queued lines. */
    void drain();
    /** @brief Logs the number of lines dropped since the last report, if any. */
    void reportDropped();
    /** @return The line as JSON text. */
    [[nodiscard]] std::string compose(Level level, std::string_view kind, const Fields& fields) const;

    JsonLogSettings settings;
    std::atomic<Level> minLevel;
    ring::Inbox<Line> inbox;
    std::atomic<std::uint64_t> incarnation = 0;
    std::atomic<std::uint64_t> writtenLines = 0;
    std::atomic<bool> stopping = false;
    /** Number of dropped lines reported so far. */
    std::uint64_t reportedDrops = 0;
    bool isUsable = true;
    std::string loggerName;
    std::thread thread;
};

void JsonLog::State::open()
{
    // The logging library registers loggers by name for the whole process, so each log needs a logger name of its own.
    static std::atomic<int> logCount = 0;
    loggerName = "swiftlift-" + std::to_string(logCount.fetch_add(1));
    const bool toFile = settings.file != "-";
    if (toFile) {
        std::FILE* probe = std::fopen(settings.file.c_str(), "a");
        isUsable = probe != nullptr;
        if (isUsable) {
            std::fclose(probe);
        }
    }
    el::Configurations configuration;
    configuration.setGlobally(el::ConfigurationType::Format, "%msg");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, toFile ? "false" : "true");
    configuration.setGlobally(el::ConfigurationType::ToFile, toFile && isUsable ? "true" : "false");
    if (toFile && isUsable) {
        configuration.setGlobally(el::ConfigurationType::Filename, settings.file);
    }
    el::Loggers::getLogger(loggerName);
    el::Loggers::reconfigureLogger(loggerName, configuration);
}

void JsonLog::State::run()
{
    while (!stopping.load()) {
        if (inbox.wakeup().waitFor(idleWait) && !stopping.load()) {
            std::this_thread::sleep_for(batchTime);
        }
        inbox.wakeup().consume();
        drain();
    }
    drain();
}

void JsonLog::State::drain()
{
    std::string batch;
    std::uint64_t count = 0;
    while (const auto line = inbox.tryPop()) {
        batch += (batch.empty() ? "" : "\n") + line->text;
        ++count;
    }
    if (count > 0) {
        CLOG(INFO, loggerName.c_str()) << batch;
        writtenLines.fetch_add(count);
    }
    reportDropped();
}

void JsonLog::State::reportDropped()
{
    if (const auto totalDrops = inbox.refused(); totalDrops != reportedDrops) {
        const auto newDrops = static_cast<std::int64_t>(totalDrops - reportedDrops);
        reportedDrops = totalDrops;
        CLOG(INFO, loggerName.c_str()) << compose(Level::Warning, "log_dropped", { { "lines", newDrops } });
    }
}

std::string JsonLog::State::compose(Level level, std::string_view kind, const Fields& fields) const
{
    Json json;
    json["time"] = utcNow();
    json["level"] = toText(level);
    json["kind"] = kind;
    json["vm"] = settings.vm;
    json["incarnation"] = toHexText(incarnation.load());
    for (const auto& [name, value] : fields) {
        std::visit([&json, &name = name](const auto& fieldValue) { json[name] = fieldValue; }, value);
    }
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

JsonLog::JsonLog(JsonLogSettings settings)
    : state_(std::make_unique<State>(std::move(settings)))
{
    state_->open();
    state_->thread = std::thread([state = state_.get()] { state->run(); });
}

JsonLog::~JsonLog()
{
    state_->stopping.store(true);
    state_->inbox.wakeup().signal();
    state_->thread.join();
}

bool JsonLog::isOpen() const noexcept { return state_->isUsable; }

void JsonLog::setLevel(Level level) noexcept { state_->minLevel.store(level); }

void JsonLog::setIncarnation(std::uint64_t incarnation) noexcept { state_->incarnation.store(incarnation); }

void JsonLog::write(Level level, std::string_view kind, const Fields& fields)
{
    if (level < state_->minLevel.load()) {
        return;
    }
    state_->inbox.pushOrDrop({ level, state_->compose(level, kind, fields) });
}

std::uint64_t JsonLog::dropped() const noexcept { return state_->inbox.refused(); }

std::uint64_t JsonLog::written() const noexcept { return state_->writtenLines.load(); }

std::string utcNow()
{
    const auto now = std::chrono::system_clock::now();
    const auto seconds = std::chrono::floor<std::chrono::seconds>(now);
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(now - seconds).count();
    const std::time_t time = std::chrono::system_clock::to_time_t(seconds);
    std::tm parts {};
    ::gmtime_r(&time, &parts);
    std::array<char, 24> date {};
    std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::array<char, 12> fraction {};
    std::snprintf(fraction.data(), fraction.size(), ".%06dZ", static_cast<int>(micros));
    return std::string(date.data()) + fraction.data();
}

} // namespace swiftlift::logging
