#include "swiftlift/transport/OperatorServer.h"

#include <algorithm>
#include <array>
#include <thread>
#include <utility>

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>

#include "transport/QuestionBoard.h"

namespace swiftlift::transport {

namespace {

    constexpr std::array<std::string_view, 6> topics { "status", "budgets", "vms", "backends", "services", "explain" };
    constexpr unsigned minServerThreads = 1;
    constexpr unsigned maxServerThreads = 4;

    /** @return The value of a parameter of a URL query string; empty if the parameter is absent. */
    std::string parameter(const std::string& query, std::string_view name)
    {
        std::size_t position = 0;
        while (position < query.size()) {
            const auto end = std::min(query.find('&', position), query.size());
            const std::string pair = query.substr(position, end - position);
            const auto equals = pair.find('=');
            if (equals != std::string::npos && std::string_view(pair).substr(0, equals) == name) {
                return pair.substr(equals + 1);
            }
            position = end + 1;
        }
        return {};
    }

    class TopicResponder : public cxxtools::http::Responder {
    public:
        TopicResponder(cxxtools::http::Service& service, internal::QuestionBoard& board)
            : cxxtools::http::Responder(service)
            , board_(board)
        {
        }

        void reply(std::ostream& out, cxxtools::http::Request& request, cxxtools::http::Reply& reply) override
        {
            const std::string& url = request.url();
            const std::string topic = url.empty() ? url : url.substr(1);
            std::string argument = parameter(request.qparams(), "request");
            if (argument.empty()) {
                argument = parameter(request.qparams(), "account");
            }
            reply.setHeader("Content-Type", "application/json");
            if (const auto answer = board_.ask(topic, argument)) {
                out << *answer;
            } else {
                reply.httpReturn(503, "Service Unavailable");
                out << R"({"error":"the router did not answer in time"})";
            }
        }

    private:
        internal::QuestionBoard& board_;
    };

    class TopicService : public cxxtools::http::Service {
    public:
        explicit TopicService(internal::QuestionBoard& board)
            : board_(board)
        {
        }

    protected:
        cxxtools::http::Responder* createResponder(const cxxtools::http::Request&) override
        {
            return new TopicResponder(*this, board_);
        }

        void releaseResponder(cxxtools::http::Responder* responder) override { delete responder; }

    private:
        internal::QuestionBoard& board_;
    };

} // namespace

struct OperatorServer::State {
    State(DecisionInbox& decisions, std::chrono::milliseconds limit)
        : board(decisions, limit)
        , service(board)
    {
    }

    internal::QuestionBoard board;
    TopicService service;
    // Declared after the loop and the service because the server uses both and must be destroyed first.
    cxxtools::EventLoop loop;
    std::unique_ptr<cxxtools::http::Server> server;
    std::string lastReason;
    std::thread thread;
};

OperatorServer::OperatorServer(DecisionInbox& decisions, std::chrono::milliseconds limit)
    : state_(std::make_unique<State>(decisions, limit))
{
}

OperatorServer::~OperatorServer() { stop(); }

bool OperatorServer::start(const Endpoint& endpoint)
{
    try {
        state_->server = std::make_unique<cxxtools::http::Server>(state_->loop, endpoint.ip, endpoint.port);
    } catch (const std::exception& error) {
        state_->lastReason = toText(endpoint) + ": " + error.what();
        return false;
    }
    state_->server->minThreads(minServerThreads);
    state_->server->maxThreads(maxServerThreads);
    for (const auto topic : topics) {
        state_->server->addService("/" + std::string(topic), state_->service);
    }
    state_->thread = std::thread([state = state_.get()] { state->loop.run(); });
    return true;
}

const std::string& OperatorServer::lastReason() const noexcept { return state_->lastReason; }

void OperatorServer::stop()
{
    if (!state_->thread.joinable()) {
        return;
    }
    state_->board.close();
    state_->loop.exit();
    state_->thread.join();
    state_->server.reset();
}

void OperatorServer::answer(node::OperatorReply&& reply) { state_->board.answer(std::move(reply)); }

} // namespace swiftlift::transport
