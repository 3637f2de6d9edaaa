-- Symptom: a budget is overspent across a partition, or a domain that is cut off stops serving what it holds.
-- Events: a domain is cut off from the other domains and from the platform; both sides go on; the budget is topped up
--   during the cut; the cut heals.
-- Cause: two sides spend the same money, or money is handed out before its draw was read back.
serve { fleet = { shape = "stitchworks", vms = 2, engines = 1, domains = 3 }, tokens = 30000 }
local calls = { { account = "league", service = "drafts", max_tokens = 16 },
    { account = "league", service = "drafts", max_tokens = 40, stream = true } }
load { calls = calls, rate = 30, seconds = 3 }

cut("regina-a", "platform")
cut("regina-a", "regina-b")
cut("regina-a", "moose-jaw")
local inside = load { calls = calls, rate = 10, seconds = 4, from = vms("regina-a"), ids = "inside" }
local outside = load { calls = calls, rate = 30, seconds = 4, from = vms("regina-b"), ids = "outside" }
top_up("league", "fair", 20000)
until_bought("league", "fair", 50000, vms("moose-jaw"))
expect(outside.answered > 0, "the domains that reach the platform serve")
expect(inside.answered > 0, "the domain that is cut off serves what it holds")
load { calls = calls, rate = 40, seconds = 4, from = vms("regina-a"), ids = "inside-late" }

heal("regina-a", "platform")
heal("regina-a", "regina-b")
heal("regina-a", "moose-jaw")
until_bought("league", "fair", 50000)
ask_until(draft("regina-a-1", "after"), "answered")
expect_promises { broken = 0 }
