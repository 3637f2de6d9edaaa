#include "swiftlift/transport/ActionCarrier.h"

#include <utility>

namespace swiftlift::transport {

ActionCarrier::ActionCarrier(Duties duties)
    : duties_(duties)
    , streamCommands_(duties.streams.inbox())
    , platformCommands_(duties.platform.inbox())
{
}

void ActionCarrier::carryOut(node::Action&& action)
{
    std::visit([this](auto&& one) { take(std::forward<decltype(one)>(one)); }, std::move(action));
}

void ActionCarrier::flush()
{
    streamCommands_.flush();
    platformCommands_.flush();
    while (!appends_.empty() && duties_.log.append(appends_.front())) {
        appends_.pop_front();
    }
}

void ActionCarrier::beginIncarnation(Incarnation incarnation)
{
    appends_.clear();
    duties_.journal.setIncarnation(incarnation.value());
    duties_.peers.setIncarnation(incarnation);
    duties_.log.beginIncarnation(incarnation);
    streamCommands_.push(BeginIncarnation { incarnation });
}

void ActionCarrier::take(node::Dispatch&& action) { streamCommands_.push(std::move(action)); }

void ActionCarrier::take(const node::CancelAttempt& action) { streamCommands_.push(action); }

void ActionCarrier::take(node::Reply&& action) { streamCommands_.push(std::move(action)); }

void ActionCarrier::take(node::Append&& action)
{
    if (!appends_.empty() || !duties_.log.append(action)) {
        appends_.push_back(std::move(action));
    }
}

void ActionCarrier::take(node::Follow&& action) { duties_.log.follow(action); }

void ActionCarrier::take(const node::ReadSoon& action) { duties_.log.readSoon(action.stream); }

void ActionCarrier::take(node::SendPeer&& action) { duties_.peers.inbox().pushOrDrop(std::move(action)); }

void ActionCarrier::take(node::WatchBackends&& action) { platformCommands_.push(std::move(action)); }

void ActionCarrier::take(node::SendOrder&& action) { platformCommands_.push(std::move(action)); }

void ActionCarrier::take(node::LogLine&& action)
{
    logging::Fields fields;
    fields.reserve(action.fields.size());
    for (auto& field : action.fields) {
        fields.emplace_back(std::move(field.name), std::move(field.value));
    }
    duties_.journal.write(logging::Level::Info, action.kind, fields);
}

void ActionCarrier::take(node::CountMetric&& action) { duties_.metrics.inbox().pushOrDrop(std::move(action)); }

void ActionCarrier::take(node::GaugeMetric&& action) { duties_.metrics.inbox().pushOrDrop(std::move(action)); }

void ActionCarrier::take(node::OperatorReply&& action)
{
    if ((action.question & callersQuestion) != 0) {
        streamCommands_.push(std::move(action));
    } else {
        duties_.operators.answer(std::move(action));
    }
}

void ActionCarrier::take(node::StopReady&&) { stopReady_.store(true); }

void ActionCarrier::take(node::PassOn&& action) { streamCommands_.push(std::move(action)); }
void ActionCarrier::take(const node::PassFailureOn& action) { streamCommands_.push(action); }
void ActionCarrier::take(const node::AnnounceReadiness& action) { streamCommands_.push(action); }
void ActionCarrier::take(const node::SetCallerLimits& action) { streamCommands_.push(action); }

// The decision loop acts on it itself.
void ActionCarrier::take(node::Restart&&) { }

} // namespace swiftlift::transport
