#include "node/StateChanges.h"

#include <utility>

namespace swiftlift::node {

namespace internal {

    /** Stands for no limit in log lines. */
    constexpr double noLimit = -1;

} // namespace internal

StateChanges::StateChanges(Context& context)
    : context_(context)
{
}

void StateChanges::noteLog(bool reachable, const std::string& detail)
{
    if (std::exchange(logReachable_, reachable) == reachable) {
        return;
    }
    context_.log(
        LogLineBuilder("log")
            .with("change", reachable ? "reachable" : "unreachable")
            .with("detail", reachable || !detail.empty() ? detail : "no answer from the log within the silence limit"));
}

void StateChanges::noteLogCalls(const LogCalls& calls, const ConfigState& config)
{
    LogLineBuilder line("log_calls");
    line.with("config", static_cast<std::int64_t>(config.version)).with("config_age_ms", toMilliseconds(config.age));
    for (const StreamCalls& stream : calls.streams) {
        const std::string name = stream.stream.value();
        line.with(name + ".reads", static_cast<std::int64_t>(stream.reads))
            .with(name + ".failed_reads", static_cast<std::int64_t>(stream.failedReads))
            .with(name + ".read_bytes", static_cast<std::int64_t>(stream.readBytes))
            .with(name + ".longest_read_ms", toMilliseconds(stream.longestRead));
        countLogCalls(stream, "read", stream.reads, stream.readBytes);
        if (stream.appends > 0) {
            line.with(name + ".appends", static_cast<std::int64_t>(stream.appends))
                .with(name + ".failed_appends", static_cast<std::int64_t>(stream.failedAppends))
                .with(name + ".append_bytes", static_cast<std::int64_t>(stream.appendBytes))
                .with(name + ".longest_append_ms", toMilliseconds(stream.longestAppend));
            countLogCalls(stream, "append", stream.appends, stream.appendBytes);
        }
        context_.count("swiftlift_log_calls_failed_total", { { "stream", name } },
            static_cast<double>(stream.failedReads + stream.failedAppends));
    }
    context_.log(line);
}

void StateChanges::countLogCalls(const StreamCalls& stream, const char* kind, std::uint32_t calls, std::uint64_t bytes)
{
    const std::vector<std::pair<std::string, std::string>> labels { { "stream", stream.stream.value() },
        { "kind", kind } };
    context_.count("swiftlift_log_calls_total", labels, calls);
    context_.count("swiftlift_log_bytes_total", labels, static_cast<double>(bytes));
}

void StateChanges::noteBackend(const BackendId& backend, const routing::BackendTable& table)
{
    const auto view = table.view(backend, {}, context_.now());
    if (!view) {
        return;
    }
    const auto [entry, isNew] = backends_.try_emplace(backend, view->state);
    const routing::BackendState before = std::exchange(entry->second, view->state);
    if (isNew || before == view->state) {
        return;
    }
    context_.log(LogLineBuilder("backend")
                     .with("backend", backend.value())
                     .with("domain", view->domain.value())
                     .with("change", toText(view->state))
                     .with("before", toText(before))
                     .with("in_flight", static_cast<std::int64_t>(view->inFlight)));
}

void StateChanges::noteAnnouncements(const std::vector<routing::AnnouncementChange>& changes)
{
    for (const routing::AnnouncementChange& change : changes) {
        context_.log(LogLineBuilder("announcement")
                         .with("backend", change.backend.value())
                         .with("limit_per_s", change.limit.value_or(internal::noLimit))
                         .with("limit_age_ms", toMilliseconds(change.limitAge))
                         .with("brittle_per_s", change.brittle.value_or(internal::noLimit))
                         .with("leaving", change.leaving)
                         .with("source", change.fromPeer ? "peer" : "answer"));
    }
}

void StateChanges::noteTurnedAway(const std::vector<routing::TurnedAway>& requests)
{
    for (const routing::TurnedAway& each : requests) {
        context_.log(LogLineBuilder("turned_away")
                         .with("backend", each.backend.value())
                         .with("brittle_per_s", each.bearable)
                         .with("in_flight", static_cast<std::int64_t>(each.inFlight))
                         .with("slots", static_cast<std::int64_t>(each.slots))
                         .with("since_last_ms", toMilliseconds(each.sinceLast))
                         .with("place", toText(each.place))
                         .with("part", static_cast<std::int64_t>(each.room.part))
                         .with("level", static_cast<std::int64_t>(each.room.level))
                         .with("held", static_cast<std::int64_t>(each.room.held))
                         .with("routers", static_cast<std::int64_t>(each.room.routers))
                         .with("list_age_ms", toMilliseconds(each.room.listAge))
                         .with("memory", each.room.memory.value())
                         .with("server_memory", each.room.serverMemory.value_or(Tokens {}).value())
                         .with("request_memory", each.requestMemory.value()));
        context_.count("swiftlift_brittle_turned_away_total", { { "place", toText(each.place) } });
    }
}

void StateChanges::noteRest(const BackendId& backend, Duration rest)
{
    context_.log(LogLineBuilder("rest").with("backend", backend.value()).with("rest_ms", toMilliseconds(rest)));
}

void StateChanges::countAnnouncements(const routing::AnnouncementCounts& counts)
{
    constexpr const char* metric = "swiftlift_backends_announcing";
    context_.gauge(metric, static_cast<double>(counts.limited), { { "what", "limit" } });
    context_.gauge(metric, static_cast<double>(counts.leaving), { { "what", "leaving" } });
    context_.gauge(metric, static_cast<double>(counts.resting), { { "what", "rest" } });
    context_.gauge(metric, static_cast<double>(counts.brittle), { { "what", "brittle" } });
}

void StateChanges::removeUnknown(const routing::BackendTable& table)
{
    std::erase_if(backends_, [&](const auto& entry) { return !table.view(entry.first, {}, context_.now()); });
}

const char* toText(routing::RoomPlace place) noexcept { return place == routing::RoomPlace::Part ? "part" : "trial"; }

const char* toText(routing::BackendState state) noexcept
{
    switch (state) {
    case routing::BackendState::Up:
        return "up";
    case routing::BackendState::SlowStart:
        return "slow_start";
    case routing::BackendState::Cold:
        return "cold";
    case routing::BackendState::Limited:
        return "limited";
    case routing::BackendState::Probing:
        return "probing";
    case routing::BackendState::Broken:
        return "broken";
    case routing::BackendState::Evacuated:
        return "evacuated";
    case routing::BackendState::Leaving:
        break;
    }
    return "leaving";
}

} // namespace swiftlift::node
