#include "node/ListCheck.h"

#include <algorithm>
#include <utility>

namespace swiftlift::node {

ListCheck::ListCheck(Context& context, StreamName stream)
    : context_(context)
    , stream_(std::move(stream))
{
}

std::uint64_t ListCheck::request()
{
    waiting_ = true;
    const std::uint64_t number = lastNumber_ + 1;
    tick();
    return number;
}

void ListCheck::tick()
{
    if (waiting_ && !inFlight_ && context_.now() >= nextStart_) {
        start();
    }
}

void ListCheck::start()
{
    waiting_ = false;
    inFlight_ = true;
    nextStart_ = context_.now() + period_;
    context_.emit(ReadEnd { stream_, applied_, ++lastNumber_ });
}

CheckState ListCheck::state(std::uint64_t number) const noexcept
{
    if (number <= complete_) {
        return CheckState::Complete;
    }
    return number <= failed_ ? CheckState::Failed : CheckState::Open;
}

void ListCheck::on(const StreamEnd& event)
{
    if (event.number != lastNumber_ || !std::exchange(inFlight_, false)) {
        return;
    }
    if (!event.end) {
        failed_ = event.number;
    } else if (*event.end <= applied_) {
        complete_ = event.number;
    } else {
        behind_.push_back({ event.number, *event.end });
        context_.emit(ExpediteRead { stream_ });
    }
    tick();
}

void ListCheck::onApplied(Offset next)
{
    applied_ = std::max(applied_, next);
    while (!behind_.empty() && behind_.front().end <= applied_) {
        complete_ = std::max(complete_, behind_.front().number);
        behind_.pop_front();
    }
}

} // namespace swiftlift::node
