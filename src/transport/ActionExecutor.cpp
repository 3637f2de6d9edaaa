#include "swiftlift/transport/ActionExecutor.h"

#include <utility>

namespace swiftlift::transport {

ActionExecutor::ActionExecutor(Duties duties)
    : duties_(duties)
    , streamCommands_(duties.streams.inbox())
    , platformCommands_(duties.platform.inbox())
{
}

void ActionExecutor::execute(node::Action&& action)
{
    std::visit([this](auto&& one) { take(std::forward<decltype(one)>(one)); }, std::move(action));
}

void ActionExecutor::flush()
{
    streamCommands_.flush();
    platformCommands_.flush();
    while (!appends_.empty() && duties_.log.append(appends_.front())) {
        appends_.pop_front();
    }
}

void ActionExecutor::beginIncarnation(Incarnation incarnation)
{
    appends_.clear();
    duties_.journal.setIncarnation(incarnation.value());
    duties_.peers.setIncarnation(incarnation);
    duties_.log.beginIncarnation(incarnation);
    streamCommands_.push(BeginIncarnation { incarnation });
}

void ActionExecutor::take(node::Dispatch&& action) { streamCommands_.push(std::move(action)); }

void ActionExecutor::take(const node::CancelAttempt& action) { streamCommands_.push(action); }

void ActionExecutor::take(node::Reply&& action) { streamCommands_.push(std::move(action)); }

void ActionExecutor::take(node::Append&& action)
{
    if (!appends_.empty() || !duties_.log.append(action)) {
        appends_.push_back(std::move(action));
    }
}

void ActionExecutor::take(node::Follow&& action) { duties_.log.follow(action); }

void ActionExecutor::take(const node::ExpediteRead& action) { duties_.log.readSoon(action.stream); }

void ActionExecutor::take(node::SendPeer&& action) { duties_.peers.inbox().pushOrDrop(std::move(action)); }

void ActionExecutor::take(node::WatchBackends&& action) { platformCommands_.push(std::move(action)); }

void ActionExecutor::take(node::SendOrder&& action) { platformCommands_.push(std::move(action)); }

void ActionExecutor::take(node::LogLine&& action)
{
    logging::Fields fields;
    fields.reserve(action.fields.size());
    for (auto& field : action.fields) {
        fields.emplace_back(std::move(field.name), std::move(field.value));
    }
    duties_.journal.write(logging::Level::Info, action.kind, fields);
}

void ActionExecutor::take(node::CountMetric&& action) { duties_.metrics.inbox().pushOrDrop(std::move(action)); }

void ActionExecutor::take(node::GaugeMetric&& action) { duties_.metrics.inbox().pushOrDrop(std::move(action)); }

void ActionExecutor::take(node::OperatorReply&& action)
{
    if ((action.question & callersQuestion) != 0) {
        streamCommands_.push(std::move(action));
    } else {
        duties_.operators.answer(std::move(action));
    }
}

void ActionExecutor::take(node::StopReady&&) { stopReady_.store(true); }

void ActionExecutor::take(node::ProxyDispatch&& action) { streamCommands_.push(std::move(action)); }
void ActionExecutor::take(const node::ProxyFailureReply& action) { streamCommands_.push(action); }
void ActionExecutor::take(const node::AnnounceReadiness& action) { streamCommands_.push(action); }
void ActionExecutor::take(const node::SetCallerLimits& action) { streamCommands_.push(action); }

// The decision loop acts on it itself.
void ActionExecutor::take(node::Restart&&) { }

} // namespace swiftlift::transport
