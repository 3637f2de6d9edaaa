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

    constexpr std::chrono::milliseconds idleWait { 500 };
    /** Lines gathered into one write: a wake-up and four system calls for each line were half of what a request cost.
     */
    constexpr std::chrono::milliseconds gatherTime { 50 };

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

    std::string hexadecimal(std::uint64_t number)
    {
        std::array<char, 17> text {};
        std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(number));
        return text.data();
    }

} // namespace

struct JsonLog::State {
    explicit State(JsonLogSettings given)
        : settings(std::move(given))
        , least(settings.level)
        , inbox(settings.capacity)
    {
    }

    void open();
    void run();
    void drain();
    void reportDropped();
    [[nodiscard]] std::string compose(Level level, std::string_view kind, const Fields& fields) const;

    JsonLogSettings settings;
    std::atomic<Level> least;
    ring::Inbox<Line> inbox;
    std::atomic<std::uint64_t> incarnation = 0;
    std::atomic<std::uint64_t> writtenLines = 0;
    std::atomic<bool> stopping = false;
    std::uint64_t droppedReported = 0;
    bool usable = true;
    std::string loggerName;
    std::thread thread;
};

void JsonLog::State::open()
{
    // Loggers of the library are process-wide; each log gets one of its own.
    static std::atomic<int> logs = 0;
    loggerName = "swiftlift-" + std::to_string(logs.fetch_add(1));
    const bool toFile = settings.file != "-";
    if (toFile) {
        std::FILE* probe = std::fopen(settings.file.c_str(), "a");
        usable = probe != nullptr;
        if (usable) {
            std::fclose(probe);
        }
    }
    el::Configurations configuration;
    configuration.setGlobally(el::ConfigurationType::Format, "%msg");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, toFile ? "false" : "true");
    configuration.setGlobally(el::ConfigurationType::ToFile, toFile && usable ? "true" : "false");
    if (toFile && usable) {
        configuration.setGlobally(el::ConfigurationType::Filename, settings.file);
    }
    el::Loggers::getLogger(loggerName);
    el::Loggers::reconfigureLogger(loggerName, configuration);
}

void JsonLog::State::run()
{
    while (!stopping.load()) {
        if (inbox.wakeup().waitFor(idleWait) && !stopping.load()) {
            std::this_thread::sleep_for(gatherTime);
        }
        inbox.wakeup().consume();
        drain();
    }
    drain();
}

void JsonLog::State::drain()
{
    std::string gathered;
    std::uint64_t count = 0;
    while (const auto line = inbox.tryPop()) {
        gathered += (gathered.empty() ? "" : "\n") + line->text;
        ++count;
    }
    if (count > 0) {
        CLOG(INFO, loggerName.c_str()) << gathered;
        writtenLines.fetch_add(count);
    }
    reportDropped();
}

void JsonLog::State::reportDropped()
{
    if (const auto now = inbox.refused(); now != droppedReported) {
        const auto lost = static_cast<std::int64_t>(now - droppedReported);
        droppedReported = now;
        CLOG(INFO, loggerName.c_str()) << compose(Level::Warning, "log_dropped", { { "lines", lost } });
    }
}

std::string JsonLog::State::compose(Level level, std::string_view kind, const Fields& fields) const
{
    Json json;
    json["time"] = utcNow();
    json["level"] = toText(level);
    json["kind"] = kind;
    json["vm"] = settings.vm;
    json["incarnation"] = hexadecimal(incarnation.load());
    for (const auto& [name, value] : fields) {
        std::visit([&json, &name = name](const auto& plain) { json[name] = plain; }, value);
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

bool JsonLog::isOpen() const noexcept { return state_->usable; }

void JsonLog::setLevel(Level level) noexcept { state_->least.store(level); }

void JsonLog::setIncarnation(std::uint64_t incarnation) noexcept { state_->incarnation.store(incarnation); }

void JsonLog::write(Level level, std::string_view kind, const Fields& fields)
{
    if (level < state_->least.load()) {
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
