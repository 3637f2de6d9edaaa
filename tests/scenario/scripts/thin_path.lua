-- Symptom: the shortest path is broken: a caller with money gets no answer, or its bill is missing or wrong.
-- Events: one fleet, one account, one service; a whole answer, a stream, a repeat of an answered request, a wrong key,
--   an unknown service, and a request that the budget cannot pay.
-- Cause: any of the router's parts, from the callers' listener to the bill in the log.
fleet { shape = "stitchworks", vms = 1, engines = 1, plains = 1, domains = 2 }
start("routers")
account("league")
top_up("league", "fair", 1000)
account("pauper")
top_up("pauper", "fair", 10)
local drafts = publish("drafts", { kind = "model", model = "stitch-7b",
    accounts = { { account = "league", budget = "fair" }, { account = "pauper", budget = "fair" } } })
local orders = publish("orders", { kind = "plain", limits = { call_cost = 7 },
    accounts = { { account = "league", budget = "fair" } } })
until_ready()
until_in_force("drafts", drafts)
until_in_force("orders", orders)
until_bought("league", "fair", 1000)
until_bought("pauper", "fair", 10)

local whole = ask_until({ vm = "regina-a-1", account = "league", service = "drafts", id = "whole", max_tokens = 20 },
    "answered")
expect_equal(whole.answer_tokens, 20, "tokens of the whole answer")
local streamed = ask_until({ vm = "regina-b-1", account = "league", service = "drafts", id = "streamed", stream = true,
    max_tokens = 30 }, "answered")
expect_equal(streamed.tokens_seen, 30, "tokens of the stream")
local order = ask_until({ vm = "regina-a-1", account = "league", service = "orders", id = "order", idempotent = false,
    body = { blanks = 12 } }, "answered")
expect_equal(order.billed_tokens, 7, "cost of a plain call")

local stranger = ask { vm = "regina-a-1", account = "league", service = "drafts", id = "stranger", key = "wrong" }
expect_equal(stranger.reason, "bad_key", "a wrong key is refused")
local nowhere = ask { vm = "regina-a-1", account = "league", service = "nowhere", id = "nowhere" }
expect_equal(nowhere.reason, "unknown_service", "an unknown service is refused")
local poor = ask { vm = "regina-a-1", account = "pauper", service = "drafts", id = "poor", max_tokens = 100 }
expect_equal(poor.outcome, "refused", "a request beyond the budget is refused")
expect_equal(poor.reason, "budget_exhausted", "and the reason says that the ledger is short")
expect(poor.not_run, "and it is said that it was not run")

expect_audit { overspend = 0, double_billed = 0, unbilled = 0, bill_mismatch = 0, billed_unanswered = 0,
    wrong_answers = 0, not_run_but_run = 0, non_idempotent_again = 0, runs_again = 0, broken = 0, false_refusals = 0,
    grants_overdrawn = 0 }
