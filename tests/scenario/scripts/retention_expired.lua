-- Symptom: a router that reads the log after records have expired guesses, and overspends or forgets a bill.
-- Events: the log keeps only its newest records; under load far more are written; a new VM starts, and one that was cut
--   off comes back, when the beginning of the ledger is gone.
-- Cause: a prefix with a hole is folded as if it were whole.
serve { fleet = { shape = "stitchworks", vms = 2, engines = 1, domains = 2, retention = 300 }, tokens = 60000 }
local calls = { { account = "league", service = "drafts", max_tokens = 4 },
    { account = "league", service = "orders", idempotent = false } }
warm_up()
local position = status("regina-b-2", "status").positions["ledger-0"]
cut("regina-b-2", "platform")
cut("regina-b-2", "regina-a")
cut("regina-b-2", "regina-b-1")
until_true(function()
    load { calls = calls, rate = 60, seconds = 4, from = vms("regina-a") }
    local stream = audit_of("log").streams["ledger-0"]
    return stream and stream.oldest > position + 50
end, 300, "what the VM that is cut off has not read has expired")
replace("regina-a-2")
heal("regina-b-2", "platform")
heal("regina-b-2", "regina-a")
heal("regina-b-2", "regina-b-1")
until_ready()
for _, vm in ipairs(vms()) do
    ask_until(draft(vm, "after-" .. vm), "answered")
end
load { calls = calls, rate = 30, seconds = 2 }
expect_promises()
