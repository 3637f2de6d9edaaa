#include "swiftlift/transport/ActionExecutor.h"

#include <utility>

namespace swiftlift::transport {

ActionExecutor::ActionExecutor(ActionTargets targets)
    : targets_(targets)
    , streamCommands_(targets.streams.inbox())
    , platformCommands_(targets.platform.inbox())
{
}

void ActionExecutor::execute(node::Action&& action)
{
    std::visit(
        [this](auto&& alternative) { carryOut(std::forward<decltype(alternative)>(alternative)); }, std::move(action));
}

void ActionExecutor::flush()
{
    streamCommands_.flush();
    platformCommands_.flush();
    while (!appends_.empty() && targets_.log.append(appends_.front())) {
        appends_.pop_front();
    }
}

void ActionExecutor::beginIncarnation(Incarnation incarnation)
{
    appends_.clear();
    targets_.journal.setIncarnation(incarnation.value());
    targets_.peers.setIncarnation(incarnation);
    targets_.log.beginIncarnation(incarnation);
    streamCommands_.push(BeginIncarnation { incarnation });
}

void ActionExecutor::carryOut(node::Dispatch&& action) { streamCommands_.push(std::move(action)); }

void ActionExecutor::carryOut(const node::CancelAttempt& action) { streamCommands_.push(action); }

void ActionExecutor::carryOut(node::Reply&& action) { streamCommands_.push(std::move(action)); }

void ActionExecutor::carryOut(node::Append&& action)
{
    if (!appends_.empty() || !targets_.log.append(action)) {
        appends_.push_back(std::move(action));
    }
}

void ActionExecutor::carryOut(node::Follow&& action) { targets_.log.follow(action); }

void ActionExecutor::carryOut(const node::PaceReads& action) { targets_.log.pace(action.stream, action.pause); }

void ActionExecutor::carryOut(const node::ExpediteRead& action) { targets_.log.readSoon(action.stream); }

void ActionExecutor::carryOut(node::ReadEnd&& action) { targets_.log.readEnd(std::move(action)); }

void ActionExecutor::carryOut(node::ReportLogCalls&&) { targets_.log.reportCalls(); }

void ActionExecutor::carryOut(node::SendPeer&& action) { targets_.peers.inbox().pushOrDrop(std::move(action)); }

void ActionExecutor::carryOut(node::WatchBackends&& action) { platformCommands_.push(std::move(action)); }

void ActionExecutor::carryOut(node::SendOrder&& action) { platformCommands_.push(std::move(action)); }

void ActionExecutor::carryOut(node::LogLine&& action)
{
    logging::Fields fields;
    fields.reserve(action.fields.size());
    for (auto& field : action.fields) {
        fields.emplace_back(std::move(field.name), std::move(field.value));
    }
    targets_.journal.write(logging::Level::Info, action.kind, fields);
}

void ActionExecutor::carryOut(node::CountMetric&& action) { targets_.metrics.inbox().pushOrDrop(std::move(action)); }

void ActionExecutor::carryOut(node::GaugeMetric&& action) { targets_.metrics.inbox().pushOrDrop(std::move(action)); }

void ActionExecutor::carryOut(node::OperatorReply&& action)
{
    if ((action.question & callersQuestion) != 0) {
        streamCommands_.push(std::move(action));
    } else {
        targets_.operators.answer(std::move(action));
    }
}

void ActionExecutor::carryOut(node::StopReady&&) { stopReady_.store(true); }

void ActionExecutor::carryOut(node::ProxyDispatch&& action) { streamCommands_.push(std::move(action)); }
void ActionExecutor::carryOut(const node::ProxyFailureReply& action) { streamCommands_.push(action); }
void ActionExecutor::carryOut(const node::AnnounceReadiness& action) { streamCommands_.push(action); }
void ActionExecutor::carryOut(const node::SetCallerLimits& action) { streamCommands_.push(action); }

void ActionExecutor::carryOut(node::ProbeBackend&& action) { streamCommands_.push(std::move(action)); }
void ActionExecutor::carryOut(node::AnswerRelay&& action) { streamCommands_.push(std::move(action)); }

// DecisionLoop handles Restart itself and does not pass it on.
void ActionExecutor::carryOut(node::Restart&&) { }

} // namespace swiftlift::transport
