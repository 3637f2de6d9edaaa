-- Symptom: a backend server that is leaving still gets new work, or its work in progress is cut off.
-- Events: under load an engine says that it is leaving, and later is gone; the same with a plain service.
-- Cause: load reports lag, and routers that have not heard of it keep choosing it.
serve { fleet = { shape = "stitchworks", vms = 1, engines = 2, plains = 2, domains = 1 } }
warm_up()
local calls = { { account = "league", service = "drafts", max_tokens = 16 }, { account = "league", service = "orders" } }
local function starts(name)
    local sum = 0
    for _, record in pairs(audit_of(name).keys) do
        sum = sum + record.started
    end
    return sum
end

local streams = {}
for index = 1, 4 do
    streams[index] = send(draft("regina-a-1", "stream-" .. index, { stream = true, max_tokens = 300 }))
end
for _, handle in ipairs(streams) do
    until_true(function() return tokens_seen(handle) >= 5 end, nil, "a stream has begun")
end
control("regina-a-engine-1", { leaving = true })
control("regina-a-plain-1", { leaving = true })
until_all(nil, "backends", function(page)
    local leaving = 0
    for _, backend in ipairs(page.backends) do
        leaving = leaving + (backend.state == "leaving" and 1 or 0)
    end
    return leaving == 2
end, "knows who is leaving")
local engine_starts, plain_starts = starts("regina-a-engine-1"), starts("regina-a-plain-1")
local counts = load { calls = calls, rate = 20, seconds = 4 }
expect_equal(counts.answered, counts.sent, "all of the load is answered by those that stay")
expect_equal(starts("regina-a-engine-1"), engine_starts, "the leaving engine gets no new work")
expect_equal(starts("regina-a-plain-1"), plain_starts, "the leaving plain service gets no new work")
for _, handle in ipairs(streams) do
    expect_equal(wait(handle).outcome, "answered", "a stream in progress at a leaving engine ends whole")
end
kill("regina-a-engine-1", "regina-a-plain-1")
local gone = load { calls = calls, rate = 20, seconds = 2 }
expect_equal(gone.answered, gone.sent, "and when they are gone, too")
expect_promises { broken = 0, unknown = 0 }
