#include "transport/Deadline.h"

#include <utility>

namespace swiftlift::transport::internal {

Deadline::State::State(boost::asio::io_context& loop, std::function<void()> callback)
    : timer(loop)
    , onExpired(std::move(callback))
{
}

Deadline::Deadline(boost::asio::io_context& loop, std::function<void()> onExpired)
    : state_(std::make_shared<State>(loop, std::move(onExpired)))
{
}

Deadline::~Deadline()
{
    state_->onExpired = nullptr;
    state_->expiry.reset();
    state_->timer.cancel();
}

void Deadline::arm(Clock::duration limit)
{
    state_->expiry = Clock::now() + limit;
    if (!state_->timerExpiry || *state_->expiry < *state_->timerExpiry) {
        wait(state_, *state_->expiry);
    }
}

void Deadline::disarm() { state_->expiry.reset(); }

void Deadline::wait(const std::shared_ptr<State>& state, Clock::time_point until)
{
    state->timerExpiry = until;
    state->timer.expires_at(until);
    state->timer.async_wait([state, until](const boost::system::error_code& error) {
        // The handler of a wait that was replaced by an earlier expiry may run too and is ignored.
        if (error || state->timerExpiry != until) {
            return;
        }
        state->timerExpiry.reset();
        timerExpired(state);
    });
}

void Deadline::timerExpired(const std::shared_ptr<State>& state)
{
    if (!state->expiry || !state->onExpired) {
        return;
    }
    if (Clock::now() < *state->expiry) {
        wait(state, *state->expiry);
        return;
    }
    state->expiry.reset();
    // Copied, since the function may destroy this deadline's owner and with it the stored function.
    const auto onExpired = state->onExpired;
    onExpired();
}

} // namespace swiftlift::transport::internal
