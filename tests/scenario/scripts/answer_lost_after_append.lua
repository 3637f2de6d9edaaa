-- Symptom: a budget is credited, drawn or billed twice, or a bill is missing.
-- Events: the log takes appends and their answers are lost, of routers under load and of an operator's top-up; then
--   appends are cut off and land seconds later, after the sender has given them up and made them again.
-- Cause: an append whose answer was lost is made again, and both copies count.
serve { fleet = { shape = "stitchworks", vms = 1, engines = 1, domains = 2 }, tokens = 20000 }
warm_up()

control("log", { lose_answers = 0.3 })
load { calls = { { account = "league", service = "drafts", max_tokens = 8 } }, rate = 20, seconds = 4 }
control("log", { lose_answers = 0 })

late_appends(3000, 6)
load { calls = { { account = "league", service = "drafts", max_tokens = 8 } }, rate = 20, seconds = 4 }

lose_answers(1)
local lost = ctl("top-up", "league", "fair", "500", "--json")
expect_equal(lost.status, 0, "a top-up whose answer was lost is read back: " .. lost.output)
until_bought("league", "fair", 20500)
local page = status("regina-a-1", "budgets")
expect_equal(page.budgets[1].bought, 20500, "the top-up counts once")

expect_promises { answered = { min = 100 } }
