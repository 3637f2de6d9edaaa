-- Symptom: a caller that asks again after its router died gets half an answer, is billed twice, or an order runs twice.
-- Events: a router is killed with streams open and an order under way; the callers ask again, with the same ids, at
--   another VM of its domain and in another domain.
-- Cause: what the dead router dispatched and billed is not known where the caller asks again.
serve { fleet = { shape = "stitchworks", vms = 2, engines = 1, domains = 2 } }
warm_up()
control("regina-a-plain-1", { call_ms = 1500 })
control("regina-b-plain-1", { call_ms = 1500 })

local streams = {}
for index = 1, 6 do
    streams[index] = draft("regina-a-1", "stream-" .. index, { stream = true, max_tokens = 400 })
    streams[index].handle = send(streams[index])
end
local started = order("regina-a-1", "order")
local started_handle = send(started)
for _, stream in ipairs(streams) do
    until_true(function() return tokens_seen(stream.handle) >= 5 end, nil, stream.id .. " has begun")
end
until_true(function() return runs_of("league", "order") == 1 end, nil, "the order has begun")
kill("regina-a-1")
for _, stream in ipairs(streams) do
    expect_equal(wait(stream.handle).outcome, "broken", stream.id .. " breaks off with its router")
end
expect_equal(wait(started_handle).outcome, "broken", "the order's caller loses its connection")

for index, stream in ipairs(streams) do
    stream.vm = index % 2 == 0 and "regina-a-2" or "regina-b-1"
    stream.handle = nil
    stream.attempt = 2
    local answer = ask_until(stream, "answered")
    expect_equal(answer.tokens_seen, 400, stream.id .. " is whole at the second try")
end
for _, vm in ipairs { "regina-a-2", "regina-b-1" } do
    started.vm = vm
    started.attempt = (started.attempt or 1) + 1
    local again = ask(started)
    expect(again.outcome == "unknown", "an order that may have run stays unknown, found " .. again.outcome)
end
expect_equal(runs_of("league", "order"), 1, "the order ran once")
expect_promises()
