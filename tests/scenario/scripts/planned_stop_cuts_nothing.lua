-- Symptom: a planned stop breaks a stream off, loses a bill, or leaves money behind in grants.
-- Events: SIGTERM to a router with streams and an order in progress, and new callers meanwhile; then to all routers.
-- Cause: the process ends before its work in progress has ended, or before its last bills have landed.
serve { fleet = { shape = "stitchworks", vms = 2, engines = 1, domains = 1 }, tokens = 50000 }
warm_up()
control("regina-a-plain-1", { call_ms = 1000 })
local handles = {}
for index = 1, 6 do
    handles[index] = send(draft("regina-a-1", "stream-" .. index, { stream = true, max_tokens = 500 }))
end
for _, handle in ipairs(handles) do
    until_true(function() return tokens_seen(handle) >= 5 end, nil, "a stream has begun")
end
handles[#handles + 1] = send(order("regina-a-1", "order"))
until_true(function() return runs_of("league", "order") == 1 end, nil, "the order has begun")

expect_equal(stop("regina-a-1"), 0, "the router ends by itself")
for _, handle in ipairs(handles) do
    local answer = wait(handle)
    expect_equal(answer.outcome, "answered", answer.id .. " was in progress when the router was told to stop")
end
expect(ask(draft("regina-a-2", "elsewhere")).outcome == "answered", "the other VM serves")
expect_equal(stop("routers"), 0, "all routers end by themselves")
local budgets = ctl("budgets", "league", "--json")
local entry = budgets.json.budgets[1]
expect_equal(entry.held, entry.billed, "after planned stops no money is left behind in grants: " .. budgets.output)
expect_promises { broken = 0, unknown = 0, runs_again = 0 }
