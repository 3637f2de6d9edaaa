-- Symptom: after a VM was replaced, the new one spends or acknowledges as if it were the old one; or it never serves.
-- Events: under load a VM is killed and a new process starts at the same address at once; twice; its neighbour, which
--   was its witness, is replaced in the same way.
-- Cause: an address is taken for an identity: what was granted, acknowledged or claimed by a former incarnation is used.
serve { fleet = { shape = "stitchworks", vms = 2, engines = 1, domains = 2 }, tokens = 40000 }
local calls = { { account = "league", service = "drafts", max_tokens = 16 },
    { account = "league", service = "orders", idempotent = false } }
local incarnation = status("regina-a-1", "status").incarnation
load { calls = calls, rate = 30, seconds = 3 }
for _, vm in ipairs { "regina-a-1", "regina-a-1", "regina-a-2" } do
    local long = send(draft(vm, "long-" .. now_ms(), { stream = true, max_tokens = 300 }))
    until_true(function() return tokens_seen(long) >= 5 end, nil, "a stream is open at " .. vm)
    replace(vm)
    wait(long)
    until_ready()
    ask_until(draft(vm, "after-" .. now_ms()), "answered")
    load { calls = calls, rate = 30, seconds = 2, retries = 2 }
end
expect(status("regina-a-1", "status").incarnation ~= incarnation, "a new process is a new incarnation")
expect_promises()
