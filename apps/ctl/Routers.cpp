#include "ctl/Routers.h"

#include <algorithm>
#include <future>
#include <set>
#include <utility>

#include "ctl/Http.h"
#include "ctl/Table.h"

namespace swiftlift::ctl {

namespace {

    using Json = nlohmann::json;

    constexpr int statusOk = 200;

    [[nodiscard]] RouterAnswer queryRouter(
        const settings::Endpoint& router, const std::string& target, Duration timeout)
    {
        Http http(timeout);
        const auto reply = http.get(router, target);
        if (!reply) {
            return { router, std::nullopt, http.lastReason() };
        }
        auto json = Json::parse(reply->body, nullptr, false);
        if (reply->status != statusOk || json.is_discarded()) {
            return { router, std::nullopt, "answered " + std::to_string(reply->status) };
        }
        return { router, std::move(json), {} };
    }

    [[nodiscard]] bool anyAnswered(const RouterAnswers& answers)
    {
        return std::any_of(answers.begin(), answers.end(), [](const auto& answer) { return answer.json.has_value(); });
    }

    [[nodiscard]] std::string unreachableText(const RouterAnswers& answers)
    {
        std::string text;
        for (const auto& answer : answers) {
            if (!answer.json) {
                text += "no answer from " + answer.router.value() + " (" + answer.reason + ")\n";
            }
        }
        return text;
    }

    [[nodiscard]] Json toJson(const RouterAnswers& answers)
    {
        Json routers = Json::array();
        for (const auto& answer : answers) {
            Json row { { "router", answer.router.value() } };
            if (answer.json) {
                row["answer"] = *answer.json;
            } else {
                row["reason"] = answer.reason;
            }
            routers.push_back(std::move(row));
        }
        return routers;
    }

    /** @return The JSON array under the key; empty if the answer has none. */
    [[nodiscard]] Json listOf(const RouterAnswer& answer, const std::string& key)
    {
        const bool has = answer.json && answer.json->is_object() && answer.json->contains(key);
        return has && (*answer.json)[key].is_array() ? (*answer.json)[key] : Json::array();
    }

    /** @return The string under the key; empty if there is none, as in answers of routers of another release. */
    [[nodiscard]] std::string textOf(const Json& object, const std::string& key)
    {
        const bool has = object.contains(key) && object[key].is_string();
        return has ? object[key].get<std::string>() : std::string();
    }

    /** Row on one VM or backend server, and the routers that reported exactly this row. */
    struct SharedRow {
        Json row;
        std::set<std::string> seenBy;
    };

    /** @return The rows of all routers: equal rows merged, rows on the same VM or backend server adjacent. */
    [[nodiscard]] std::vector<SharedRow> mergeViews(const RouterAnswers& answers, const std::string& topic)
    {
        std::vector<SharedRow> rows;
        for (const auto& answer : answers) {
            for (const auto& row : listOf(answer, topic)) {
                auto same = std::find_if(rows.begin(), rows.end(), [&](const auto& each) { return each.row == row; });
                if (same == rows.end()) {
                    same = rows.insert(rows.end(), { row, {} });
                }
                same->seenBy.insert(answer.router.value());
            }
        }
        const auto nameOf = [](const SharedRow& each) {
            const auto* const key = each.row.contains("backend") ? "backend" : "peer";
            return each.row.is_object() && each.row.contains(key) ? each.row[key].dump() : std::string();
        };
        std::stable_sort(rows.begin(), rows.end(),
            [&](const SharedRow& left, const SharedRow& right) { return nameOf(left) < nameOf(right); });
        return rows;
    }

    /** @return `all`, or the shorter of two lists: the routers that reported a row, or `all but` the others. */
    [[nodiscard]] std::string seenByText(const std::set<std::string>& seenBy, const RouterAnswers& answers)
    {
        std::string seen;
        std::string unseen;
        for (const auto& answer : answers) {
            if (answer.json) {
                auto& text = seenBy.contains(answer.router.value()) ? seen : unseen;
                text += (text.empty() ? "" : ", ") + answer.router.value();
            }
        }
        if (unseen.empty()) {
            return "all";
        }
        return unseen.size() < seen.size() ? "all but " + unseen : seen;
    }

    [[nodiscard]] Report unreachableReport(const RouterAnswers& answers)
    {
        const auto reason = answers.empty() ? "the settings name no routers (routers.operators)" : "no router answers";
        auto report = failure(ExitCode::Unreachable, "unreachable", reason);
        report.text += unreachableText(answers);
        report.json["routers"] = toJson(answers);
        return report;
    }

    /** @return One decision on one line, its kind first. */
    [[nodiscard]] std::string decisionText(const Json& decision)
    {
        std::string text = textOf(decision, "kind");
        for (const auto& [key, value] : decision.items()) {
            if (key != "kind") {
                text += ' ' + key + '=' + (value.is_string() ? value.get<std::string>() : value.dump());
            }
        }
        return text + '\n';
    }

    [[nodiscard]] std::string decisionsText(const RouterAnswer& answer)
    {
        std::string text;
        for (const auto& decision : listOf(answer, "decisions")) {
            text += "  " + (decision.is_object() ? decisionText(decision) : decision.dump() + '\n');
        }
        return text;
    }

    [[nodiscard]] std::string percentEncoded(const std::string& text)
    {
        constexpr std::string_view digits = "0123456789ABCDEF";
        std::string out;
        for (const char letter : text) {
            const auto byte = static_cast<unsigned char>(letter);
            const bool plain = (letter >= '0' && letter <= '9') || (letter >= 'a' && letter <= 'z')
                || (letter >= 'A' && letter <= 'Z') || letter == '-' || letter == '.' || letter == '_';
            if (plain) {
                out += letter;
            } else {
                out += { '%', digits[byte >> 4U], digits[byte & 0xFU] };
            }
        }
        return out;
    }

} // namespace

HttpRouters::HttpRouters(std::vector<settings::Endpoint> routers, Duration timeout)
    : routers_(std::move(routers))
    , timeout_(timeout)
{
}

RouterAnswers HttpRouters::queryAll(const std::string& target)
{
    // The calls run concurrently: in a partition, sequential calls would take one timeout for each unreachable router.
    std::vector<std::future<RouterAnswer>> calls;
    for (const auto& router : routers_) {
        calls.push_back(std::async(std::launch::async, queryRouter, router, target, timeout_));
    }
    RouterAnswers answers;
    for (auto& call : calls) {
        answers.push_back(call.get());
    }
    return answers;
}

Report routerStatus(Routers& routers)
{
    const auto answers = routers.queryAll("/status");
    if (!anyAnswered(answers)) {
        return unreachableReport(answers);
    }
    Json rows = Json::array();
    for (const auto& answer : answers) {
        Json row { { "router", answer.router.value() } };
        const auto& status = answer.json ? *answer.json : Json::object();
        for (const auto& [key, value] : status.items()) {
            if (value.is_primitive()) {
                row[key] = value;
            }
        }
        rows.push_back(std::move(row));
    }
    return { ExitCode::Ok, readable(rows) + unreachableText(answers), { { "routers", toJson(answers) } } };
}

Report routerViews(Routers& routers, const std::string& topic)
{
    const auto answers = routers.queryAll('/' + topic);
    if (!anyAnswered(answers)) {
        return unreachableReport(answers);
    }
    auto rows = mergeViews(answers, topic);
    Json list = Json::array();
    for (auto& row : rows) {
        row.row["seen_by"] = seenByText(row.seenBy, answers);
        list.push_back(std::move(row.row));
    }
    const auto text = list.empty() ? "no router reports any of them\n" : readable(list);
    return { ExitCode::Ok, text + unreachableText(answers), { { "routers", toJson(answers) } } };
}

Report explainRequest(Routers& routers, const std::string& request)
{
    const auto answers = routers.queryAll("/explain?request=" + percentEncoded(request));
    if (!anyAnswered(answers)) {
        return unreachableReport(answers);
    }
    std::string text;
    for (const auto& answer : answers) {
        if (const auto decisions = decisionsText(answer); !decisions.empty()) {
            text += "decided by " + answer.router.value() + ":\n" + decisions;
        }
    }
    const auto code = text.empty() ? ExitCode::Refused : ExitCode::Ok;
    if (text.empty()) {
        text = "no router that answers remembers request " + request + '\n';
    }
    return { code, text + unreachableText(answers), { { "request", request }, { "routers", toJson(answers) } } };
}

VmNames vmNames(Routers& routers)
{
    VmNames names;
    const auto note = [&](const Json& row) {
        if (row.is_object() && row.contains("incarnation") && row.contains("peer")) {
            names.emplace(textOf(row, "incarnation"), textOf(row, "peer"));
        }
    };
    for (const auto& answer : routers.queryAll("/status")) {
        note(answer.json.value_or(Json()));
    }
    for (const auto& answer : routers.queryAll("/vms")) {
        for (const auto& row : listOf(answer, "vms")) {
            note(row);
        }
    }
    return names;
}

void addHoldings(Routers& routers, const std::optional<AccountId>& account, Report& report)
{
    const auto answers = routers.queryAll("/budgets");
    Json holdings = Json::array();
    for (const auto& answer : answers) {
        for (auto holding : listOf(answer, "holdings")) {
            if (!holding.is_object() || (account && textOf(holding, "account") != account->value())) {
                continue;
            }
            holding["router"] = answer.router.value();
            holdings.push_back(std::move(holding));
        }
    }
    if (!holdings.empty()) {
        report.text += "\nholdings now, as the routers tell:\n" + readable(holdings);
    }
    report.text += unreachableText(answers);
    report.json["holdings"] = std::move(holdings);
}

} // namespace swiftlift::ctl
