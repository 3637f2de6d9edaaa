#include "transport/Deadline.h"

#include <utility>

namespace swiftlift::transport::internal {

Deadline::State::State(boost::asio::io_context& loop, std::function<void()> called)
    : timer(loop)
    , passed(std::move(called))
{
}

Deadline::Deadline(boost::asio::io_context& loop, std::function<void()> passed)
    : state_(std::make_shared<State>(loop, std::move(passed)))
{
}

Deadline::~Deadline()
{
    state_->passed = nullptr;
    state_->at.reset();
    state_->timer.cancel();
}

void Deadline::arm(Clock::duration limit)
{
    state_->at = Clock::now() + limit;
    if (!state_->waitingFor || *state_->at < *state_->waitingFor) {
        wait(state_, *state_->at);
    }
}

void Deadline::disarm() { state_->at.reset(); }

void Deadline::wait(const std::shared_ptr<State>& state, Clock::time_point until)
{
    state->waitingFor = until;
    state->timer.expires_at(until);
    state->timer.async_wait([state, until](const boost::system::error_code& error) {
        // A wait that was replaced by an earlier one ends too; it is not the one that counts.
        if (error || state->waitingFor != until) {
            return;
        }
        state->waitingFor.reset();
        timerRanOut(state);
    });
}

void Deadline::timerRanOut(const std::shared_ptr<State>& state)
{
    if (!state->at || !state->passed) {
        return;
    }
    if (Clock::now() < *state->at) {
        wait(state, *state->at);
        return;
    }
    state->at.reset();
    // The call may end the owner, and with it the function.
    const auto passed = state->passed;
    passed();
}

} // namespace swiftlift::transport::internal
