#include "node/OperatorView.h"

#include <cstdlib>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace swiftlift::node {

namespace internal {

    using nlohmann::json;

    [[nodiscard]] json status(const CoreState& state)
    {
        const CoreSettings& settings = state.context().settings();
        const auto counts = state.peers().membership().counts();
        json positions = json::object();
        for (const auto& shard : state.ledgers().all()) {
            positions[shard->stream().value()] = shard->fold().nextOffset().value();
        }
        positions[Services::stream().value()] = state.services().fold().nextOffset().value();
        return { { "incarnation", toHex(settings.incarnation.value()) }, { "peer", settings.peerAddress.value() },
            { "domain", settings.domain.value() }, { "region", settings.region.value() }, { "ready", state.ready() },
            { "stopping", state.stopping() }, { "retired", state.retired() },
            { "log_reachable", state.health().reachable(state.context().now()) },
            { "links_lost", state.links().lost() }, { "in_progress", state.requests().inProgress() },
            { "peers_alive", counts.alive }, { "peers_in_domain", counts.aliveInDomain }, { "positions", positions } };
    }

    [[nodiscard]] json budgets(const CoreState& state)
    {
        json list = json::array();
        json holdings = json::array();
        for (const auto& shard : state.ledgers().all()) {
            for (const auto& ref : shard->fold().budgets()) {
                const auto view = shard->fold().budget(ref);
                list.push_back({ { "account", ref.account.value() }, { "budget", ref.budget.value() },
                    { "bought", view->bought.value() }, { "billed", view->billed.value() },
                    { "held", view->held.value() }, { "available", view->available().value() } });
            }
            for (const auto& held : shard->holder().holdings()) {
                holdings.push_back({ { "account", held.budget.account.value() },
                    { "budget", held.budget.budget.value() }, { "grant", toText(held.grant) },
                    { "amount", held.amount.value() }, { "ceiling", held.ceiling.value() },
                    { "billed", held.billed.value() }, { "reserved", held.reserved.value() },
                    { "lent", held.lent.value() }, { "borrowed", held.borrowed.value() },
                    { "witness", toHex(held.witness.value()) }, { "usable", held.usable } });
            }
        }
        return { { "budgets", list }, { "holdings", holdings } };
    }

    [[nodiscard]] json vms(const CoreState& state)
    {
        json list = json::array();
        const auto& membership = state.peers().membership();
        for (const Incarnation peer : membership.alivePeers()) {
            const auto address = membership.addressOf(peer);
            list.push_back({ { "incarnation", toHex(peer.value()) }, { "peer", address ? address->value() : "" },
                { "state", "alive" } });
        }
        return { { "vms", list } };
    }

    [[nodiscard]] json backends(const CoreState& state)
    {
        json list = json::array();
        for (const auto& id : state.backends().backends()) {
            const auto view = state.backends().view(id, {}, state.context().now());
            if (!view) {
                continue;
            }
            list.push_back({ { "backend", id.value() }, { "domain", view->domain.value() },
                { "state", toText(view->state) }, { "running", view->running }, { "waiting", view->waiting },
                { "in_flight", view->inFlight }, { "usable", view->usable },
                { "predicted_first_token_ms", toMilliseconds(view->predictedFirstToken) }, { "slots", view->slots },
                { "limit_per_s", view->announcedLimit ? json(*view->announcedLimit) : json(nullptr) },
                { "resting", view->resting } });
        }
        return { { "backends", list } };
    }

    [[nodiscard]] json services(const CoreState& state)
    {
        json list = json::array();
        const auto& fold = state.services().fold();
        for (const auto& name : fold.services()) {
            const auto* revision = fold.current(name);
            list.push_back({ { "service", name.value() }, { "revision", revision->revision.value() },
                { "author", revision->author } });
        }
        return { { "services", list } };
    }

    /** The parts of a caller's question `ACCOUNT/ID/KEYHASH/KEY`. */
    struct CallersQuestion {
        AccountId account;
        std::string id;
        std::string keyHash;
        RequestKey key;
    };

    [[nodiscard]] std::optional<CallersQuestion> parseCallersQuestion(const std::string& argument)
    {
        constexpr std::size_t parts = 4;
        constexpr std::size_t wordDigits = 16;
        constexpr int hexadecimal = 16;
        std::vector<std::string> words;
        std::istringstream in(argument);
        for (std::string word; std::getline(in, word, '/');) {
            words.push_back(word);
        }
        if (words.size() != parts || words[3].size() != 2 * wordDigits) {
            return std::nullopt;
        }
        const RequestKey key { std::strtoull(words[3].substr(0, wordDigits).c_str(), nullptr, hexadecimal),
            std::strtoull(words[3].substr(wordDigits).c_str(), nullptr, hexadecimal) };
        return CallersQuestion { AccountId { words[0] }, words[1], words[2], key };
    }

    [[nodiscard]] const char* stateText(const request::Record& record)
    {
        if (!record.ended) {
            return "running";
        }
        switch (*record.ended) {
        case Outcome::Answered:
            return "answered";
        case Outcome::NotRun:
            return "refused";
        case Outcome::Unknown:
            return "unknown";
        }
        return "unknown";
    }

    /** @return The request's state, to which only the account that sent the request has access. */
    [[nodiscard]] json requestState(const CoreState& state, const std::string& argument)
    {
        const auto question = parseCallersQuestion(argument);
        if (!question) {
            return { { "error", "bad_request" } };
        }
        const auto account = state.ledgers().of(question->account).fold().account(question->account);
        if (!account || account->keyHash != question->keyHash) {
            return { { "request", question->id }, { "error", "bad_key" } };
        }
        const request::Record* record = state.requests().table().find(question->key);
        if (record == nullptr) {
            return { { "request", question->id }, { "state", "unknown_here" } };
        }
        json answer = { { "request", question->id }, { "state", stateText(*record) }, { "reason", record->reason },
            { "billed_tokens", record->billed.value() } };
        if (record->ended == Outcome::NotRun) {
            answer["run"] = "not_run";
        }
        return answer;
    }

    [[nodiscard]] json explain(const CoreState& state, const std::string& request)
    {
        json decisions = json::array();
        for (const auto& explanation : state.context().explanations().of(request)) {
            json line = { { "kind", explanation.line.kind },
                { "ago_ms", toMilliseconds(state.context().now() - explanation.when) } };
            for (const auto& field : explanation.line.fields) {
                std::visit([&](const auto& value) { line[field.name] = value; }, field.value);
            }
            decisions.push_back(std::move(line));
        }
        return { { "request", request }, { "decisions", decisions } };
    }

} // namespace internal

std::string answerOperator(const CoreState& state, const OperatorAsked& question)
{
    using internal::json;
    json answer;
    if (question.topic == "status") {
        answer = internal::status(state);
    } else if (question.topic == "budgets") {
        answer = internal::budgets(state);
    } else if (question.topic == "vms") {
        answer = internal::vms(state);
    } else if (question.topic == "backends") {
        answer = internal::backends(state);
    } else if (question.topic == "services") {
        answer = internal::services(state);
    } else if (question.topic == "request") {
        answer = internal::requestState(state, question.argument);
    } else if (question.topic == "explain") {
        answer = internal::explain(state, question.argument);
    } else {
        answer = { { "error", "unknown topic" }, { "topic", question.topic } };
    }
    return answer.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace swiftlift::node
