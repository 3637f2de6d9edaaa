#include "link/Link.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <sstream>

namespace swiftlift::standins {

namespace internal {

    constexpr Milliseconds linkAcceptPause { 100 };

    std::string toString(const Tcp::endpoint& endpoint)
    {
        std::ostringstream text;
        text << endpoint;
        return text.str();
    }

} // namespace internal

Link::Link(asio::io_context& context, const LinkAddresses& addresses, const CutMode& mode)
    : context_(context)
    , addresses_(addresses)
    , acceptor_(context, addresses.listen)
    , mode_(mode)
{
}

void Link::start() { asio::co_spawn(context_, accept(), asio::detached); }

Awaitable<void> Link::accept()
{
    while (acceptor_.is_open()) {
        boost::system::error_code error;
        auto socket = co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            // Out of descriptors: accepting again at once would spin until some are free.
            co_await sleepFor(internal::linkAcceptPause);
            continue;
        }
        startRelay(std::move(socket));
    }
}

void Link::startRelay(Tcp::socket socket)
{
    ++accepted_;
    const auto relay = std::make_shared<Relay>(state_, std::move(socket));
    if (isCut() && mode_ == CutMode::Reset) {
        relay->reset();
        return;
    }
    std::erase_if(relays_, [](const auto& known) { return known.expired(); });
    relays_.push_back(relay);
    // The function keeps the relay alive while its coroutine runs.
    asio::co_spawn(
        context_, [relay, addresses = addresses_] { return relay->run(addresses.to, addresses.from); }, asio::detached);
}

void Link::cut()
{
    state_->forward.cut = true;
    state_->backward.cut = true;
    state_->changed.notify();
    if (mode_ == CutMode::Drop) {
        return;
    }
    for (const auto& known : relays_) {
        if (const auto relay = known.lock()) {
            relay->reset();
        }
    }
}

void Link::cutForward()
{
    state_->forward.cut = true;
    state_->changed.notify();
}

void Link::cutBackward()
{
    state_->backward.cut = true;
    state_->changed.notify();
}

void Link::heal()
{
    state_->forward.cut = false;
    state_->backward.cut = false;
    state_->changed.notify();
}

Json Link::audit() const
{
    return { { "listening", internal::toString(acceptor_.local_endpoint()) },
        { "to", internal::toString(addresses_.to) }, { "cut_forward", state_->forward.cut },
        { "cut_backward", state_->backward.cut }, { "delay_ms", state_->delay.count() }, { "accepted", accepted_ },
        { "bytes_forward", state_->forward.bytes }, { "bytes_backward", state_->backward.bytes } };
}

} // namespace swiftlift::standins
