-- Symptom: after a failure, nobody can say from the routers' logs what was done about it, when and why.
-- Events: an engine dies with a stream open; a router dies; an engine says that it is leaving; a failure domain is cut off
--   from the platform and from the others; of two publishes on top of one revision one is refused; a request is refused for
--   its budget.
-- Cause: something is decided, or a state changes, on a path that writes no line; or the line lacks whom it is about.
serve { fleet = { shape = "stitchworks", vms = 2, engines = 2, domains = 2 }, accounts = { "league", "pauper" },
    tokens = 8000 }
warm_up()

--- Waits for a line of this kind for which check holds, in the log of one of these VMs. Each says when, and of which VM.
local function line_in(names, kind, check, text)
    local line = until_true(function()
        for _, name in ipairs(names) do
            for _, entry in ipairs(logged(name, kind)) do
                if check(entry) then
                    return entry
                end
            end
        end
    end, nil, "a line of kind " .. kind .. " tells " .. text)
    expect(line.time and line.vm and line.incarnation, "the line says when, and who wrote it: " .. kind)
    return line
end

local engine_of = {}
for _, name in ipairs(backends("engines")) do
    engine_of[address_of(name)] = name
end

-- An engine dies with a stream open: the router's lines, and `explain`, tell the whole way of the request.
local stream = send(draft("regina-a-1", "long", { stream = true, max_tokens = 400 }))
until_true(function() return tokens_seen(stream) >= 5 end, nil, "the stream has begun")
local first = line_in({ "regina-a-1" }, "route", function(line) return line.request == "long" end, "where it went")
expect(first.reason ~= "" and first.alternatives and first.predicted_first_token_ms, "and why, with figures")
kill(engine_of[first.backend])
expect_equal(wait(stream).outcome, "answered", "the stream ends whole elsewhere")
local lost = line_in({ "regina-a-1" }, "attempt_failed", function(line) return line.request == "long" end, "what failed")
expect_equal(lost.backend, first.backend, "the attempt that failed names the dead engine")
local second = line_in({ "regina-a-1" }, "route",
    function(line) return line.request == "long" and line.attempt > 1 end, "where it went next")
expect(second.backend ~= first.backend, "which is another engine")
expect(second.resume_from >= 5, "and from which token")
line_in({ "regina-a-1" }, "backend",
    function(line) return line.backend == first.backend and line.change == "broken" end, "that the engine is not used")
local told = ctl("explain", "long")
expect_equal(told.status, 0, "explain knows the request")
for _, word in ipairs { "route", "attempt_failed", "answered", first.backend, second.backend, first.reason } do
    expect(told.output:find(word, 1, true), "explain tells " .. word .. ": " .. told.output)
end

-- A router dies: who missed it, and what became of the money it held.
local dead, others = status("regina-a-2", "status"), { "regina-a-1", "regina-b-1", "regina-b-2" }
kill("regina-a-2")
line_in(others, "membership",
    function(line) return line.address == dead.peer and line.peer == dead.incarnation end, "that the router is missed")
line_in(others, "seal", function(line)
    return line.grant:find(dead.incarnation, 1, true) == 1 and line.witness ~= ""
end, "whose grant was sealed, and by whom")

-- An engine says that it is leaving.
local leaving = backends("engines", "regina-b")[1]
control(leaving, { leaving = true })
line_in({ "regina-b-1" }, "backend",
    function(line) return line.backend == address_of(leaving) and line.change == "leaving" end, "who is leaving")

-- A request is refused.
local poor = ask { vm = "regina-a-1", account = "pauper", service = "drafts", id = "poor", max_tokens = 1000,
    prompt = string.rep("maple leaf, ", 2500) }
expect_equal(poor.outcome, "refused", "who cannot pay is refused")
local refusal = line_in({ "regina-a-1" }, "refuse", function(line) return line.request == "poor" end, "who was refused")
expect_equal(refusal.reason, poor.reason, "the line has the reason that the caller got")
expect(ctl("explain", "poor").output:find(poor.reason, 1, true), "and so has explain")

-- A failure domain is cut off from the platform and from the others, and comes back.
local far = status("regina-b-1", "status")
cut("regina-b", "platform")
cut("regina-b", "regina-a")
line_in({ "regina-b-1" }, "log", function(line) return line.change == "unreachable" end, "that the log is out of reach")
line_in({ "regina-a-1" }, "membership",
    function(line) return line.address == far.peer and line.change ~= "joined" end, "that the other side is missed")
heal("regina-b", "platform")
heal("regina-b", "regina-a")
until_true(function()
    local lines = logged("regina-b-1", "log")
    return lines[#lines].change == "reachable"
end, nil, "the last word is that the log can be reached again")
until_ready()

-- Two operators publish on top of one revision. The first append lands late, so that the other operator does not see it
-- beforehand; one who does see it is refused without a record in the log, and then they race again.
local function document(cost, name)
    return write_document("race", { kind = "plain", limits = { call_cost = cost },
        accounts = { { account = "league", budget = "fair" } } }, name)
end
local rejected = until_true(function()
    local base = publish("race", { kind = "plain", limits = { call_cost = 1 },
        accounts = { { account = "league", budget = "fair" } } })
    late_appends(1000, 1)
    local commands = {}
    for index, author in ipairs { "anna", "olek" } do
        commands[index] = start_ctl("publish", document(1 + index, author), "--author", author, "--expect-revision",
            tostring(base.revision))
    end
    local losers = {}
    for index, author in ipairs { "anna", "olek" } do
        if wait_ctl(commands[index]).status == 1 then
            losers[#losers + 1] = author
        end
    end
    expect_equal(#losers, 1, "one of them is refused")
    local winner = losers[1] == "anna" and "olek" or "anna"
    line_in({ "regina-b-1" }, "config", function(line)
        return line.change == "accepted" and line.author == winner and line.offset > base.revision
    end, "whose publish is in force")
    for _, line in ipairs(logged("regina-b-1", "config")) do
        if line.change == "rejected" and line.author == losers[1] and line.offset > base.revision then
            return line
        end
    end
end, nil, "the log of a router tells whose publish was refused")
expect_equal(rejected.service, "race", "and of which service")
expect_promises()
