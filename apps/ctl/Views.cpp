#include "ctl/Views.h"

#include <functional>
#include <string>

#include "ctl/ConfigReader.h"
#include "ctl/LedgerReader.h"
#include "ctl/Table.h"
#include "swiftlift/ledger/Shard.h"
#include "swiftlift/settings/ServiceDocument.h"
#include "swiftlift/transport/Hashing.h"

namespace swiftlift::ctl {

namespace {

    using Json = nlohmann::json;

    [[nodiscard]] Report unreadableLogReport(const StreamReader& reader)
    {
        return failure(ExitCode::Unreachable, "unreachable", "the log cannot be read: " + reader.lastReason());
    }

    /** @brief Folds each shard and calls `visit` with its fold. @return The report of a failed read, if any. */
    [[nodiscard]] std::optional<Report> forEachShard(
        Log& log, std::uint32_t shards, const std::function<void(const ledger::Fold&)>& visit)
    {
        for (std::uint32_t shard = 0; shard < shards; ++shard) {
            LedgerReader reader(log, ledger::ledgerStream(shard));
            if (!reader.catchUp()) {
                return unreadableLogReport(reader);
            }
            visit(reader.fold());
        }
        return std::nullopt;
    }

    void addAccounts(const ledger::Fold& fold, Json& rows)
    {
        const auto budgets = fold.budgets();
        for (const auto& id : fold.accounts()) {
            const auto view = fold.account(id).value_or(ledger::AccountView {});
            Json names = Json::array();
            for (const auto& ref : budgets) {
                if (ref.account == id) {
                    names.push_back(ref.budget.value());
                }
            }
            rows.push_back({ { "account", id.value() }, { "state", view.closed ? "closed" : "open" },
                { "revision", view.revision.value() }, { "budgets", names } });
        }
    }

    [[nodiscard]] Json grantJson(const ledger::GrantView& grant, const VmNames& names)
    {
        const bool hasWitness = grant.witness != Incarnation {};
        const auto holder = transport::toHex(grant.id.holder.value());
        const auto vm = names.find(holder);
        return { { "holder", holder }, { "vm", vm != names.end() ? Json(vm->second) : Json() },
            { "grant", grant.id.number }, { "state", ledger::toText(grant.state) }, { "held", grant.held().value() },
            { "billed", grant.billed.value() },
            { "witness", hasWitness ? Json(transport::toHex(grant.witness.value())) : Json() } };
    }

    void addBudgets(const ledger::Fold& fold, const std::optional<AccountId>& account, const VmNames& names, Json& rows)
    {
        const auto grants = fold.openGrants();
        for (const auto& ref : fold.budgets()) {
            if (account && ref.account != *account) {
                continue;
            }
            const auto view = fold.budget(ref).value_or(ledger::BudgetView {});
            Json held = Json::array();
            for (const auto& grant : grants) {
                if (grant.budget == ref) {
                    held.push_back(grantJson(grant, names));
                }
            }
            rows.push_back({ { "account", ref.account.value() }, { "budget", ref.budget.value() },
                { "bought", view.bought.value() }, { "billed", view.billed.value() }, { "held", view.held.value() },
                { "free", view.available().value() }, { "grants", held } });
        }
    }

    [[nodiscard]] std::string number(const Json& value) { return std::to_string(value.get<std::int64_t>()); }

    [[nodiscard]] std::string textOrDash(const Json& value) { return value.is_null() ? "-" : value.get<std::string>(); }

    [[nodiscard]] std::string budgetsText(const Json& budgets)
    {
        Table table({ "ACCOUNT", "BUDGET", "BOUGHT", "BILLED", "HELD", "FREE" });
        Table holders({ "ACCOUNT", "BUDGET", "HOLDER", "VM", "GRANT", "STATE", "HELD", "BILLED", "WITNESS" });
        bool anyGrant = false;
        for (const auto& row : budgets) {
            table.add({ row["account"], row["budget"], number(row["bought"]), number(row["billed"]),
                number(row["held"]), number(row["free"]) });
            for (const auto& grant : row["grants"]) {
                anyGrant = true;
                holders.add(
                    { row["account"], row["budget"], grant["holder"], textOrDash(grant["vm"]), number(grant["grant"]),
                        grant["state"], number(grant["held"]), number(grant["billed"]), textOrDash(grant["witness"]) });
            }
        }
        return table.text() + (anyGrant ? "\nheld by:\n" + holders.text() : std::string());
    }

    [[nodiscard]] Json serviceJson(const config::ServiceRevision& revision)
    {
        Json row = { { "service", revision.service.value() }, { "revision", revision.revision.value() },
            { "author", revision.author } };
        if (revision.document) {
            row["kind"] = settings::toText(revision.document->kind);
            row["model"] = revision.document->model;
            row["weighting"] = settings::toText(revision.document->weighting);
            row["accounts"] = revision.document->accounts.size();
            row["backends"] = revision.document->backends.size();
        }
        return row;
    }

} // namespace

Report listAccounts(Log& log, std::uint32_t shards)
{
    Json rows = Json::array();
    if (auto failed = forEachShard(log, shards, [&](const ledger::Fold& fold) { addAccounts(fold, rows); })) {
        return *failed;
    }
    Table table({ "ACCOUNT", "STATE", "REVISION", "BUDGETS" });
    for (const auto& row : rows) {
        std::string budgets;
        for (const auto& name : row["budgets"]) {
            budgets += (budgets.empty() ? "" : ",") + name.get<std::string>();
        }
        table.add({ row["account"], row["state"], number(row["revision"]), budgets.empty() ? "-" : budgets });
    }
    return { ExitCode::Ok, table.text(), { { "accounts", rows } } };
}

Report listBudgets(Log& log, std::uint32_t shards, const std::optional<AccountId>& account, const VmNames& names)
{
    Json rows = Json::array();
    bool known = !account.has_value();
    const auto visit = [&](const ledger::Fold& fold) {
        known = known || fold.account(*account).has_value();
        addBudgets(fold, account, names, rows);
    };
    if (auto failed = forEachShard(log, shards, visit)) {
        return *failed;
    }
    if (!known) {
        return failure(ExitCode::Refused, "not_found", "there is no account " + account->value());
    }
    return { ExitCode::Ok, budgetsText(rows), { { "budgets", rows } } };
}

Report listServices(Log& log)
{
    ConfigReader reader(log);
    if (!reader.catchUp()) {
        return unreadableLogReport(reader);
    }
    Json rows = Json::array();
    Table table({ "SERVICE", "KIND", "MODEL", "WEIGHTING", "REVISION", "AUTHOR", "ACCOUNTS", "BACKENDS" });
    for (const auto& name : reader.fold().services()) {
        const auto* const revision = reader.fold().current(name);
        if (revision == nullptr || !revision->document) {
            continue;
        }
        const auto& document = *revision->document;
        rows.push_back(serviceJson(*revision));
        table.add(
            { name.value(), std::string(settings::toText(document.kind)), document.model.empty() ? "-" : document.model,
                std::string(settings::toText(document.weighting)), std::to_string(revision->revision.value()),
                revision->author, std::to_string(document.accounts.size()), std::to_string(document.backends.size()) });
    }
    return { ExitCode::Ok, table.text(), { { "services", rows } } };
}

Report showService(Log& log, const ServiceName& service)
{
    ConfigReader reader(log);
    if (!reader.catchUp()) {
        return unreadableLogReport(reader);
    }
    const auto* const revision = reader.fold().current(service);
    if (revision == nullptr) {
        const auto* const last = reader.fold().last(service);
        const auto reason = last == nullptr ? " was never published" : " was withdrawn by " + last->author;
        return failure(ExitCode::Refused, "not_found", "service " + service.value() + reason);
    }
    auto json = serviceJson(*revision);
    json["document"] = revision->text;
    const auto head = "# service " + service.value() + ", revision " + std::to_string(revision->revision.value())
        + ", published by " + revision->author + '\n';
    return { ExitCode::Ok, head + revision->text, json };
}

Report serviceHistory(Log& log, const ServiceName& service)
{
    ConfigReader reader(log);
    if (!reader.catchUp()) {
        return unreadableLogReport(reader);
    }
    const auto notes = reader.fold().history(service);
    if (notes.empty()) {
        return failure(ExitCode::Refused, "not_found", "service " + service.value() + " was never published");
    }
    Json rows = Json::array();
    Table table({ "REVISION", "CHANGE", "AUTHOR", "ID" });
    for (const auto& note : notes) {
        const auto* const change = note.withdrawn ? "withdrawn" : "published";
        const auto id = transport::toHex(note.id);
        rows.push_back(
            { { "revision", note.revision.value() }, { "change", change }, { "author", note.author }, { "id", id } });
        table.add({ std::to_string(note.revision.value()), change, note.author, id });
    }
    return { ExitCode::Ok, table.text(), { { "service", service.value() }, { "revisions", rows } } };
}

} // namespace swiftlift::ctl
