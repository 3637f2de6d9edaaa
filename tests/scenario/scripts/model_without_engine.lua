-- Symptom: a service whose model no engine has is refused for good; or an engine gets orders from two routers.
-- Events: a service is published for a model that nobody has loaded; then two of three routers freeze, one of which may
-- have the order lease, a second such service is published, and the two thaw again.
-- Cause: nobody tells engines what to load; or a router that was paused trusts a lease that has run out.
serve { fleet = { shape = "stitchworks", domains = 1, vms = 3, engines = 2, plains = 1 } }
warm_up()
local first, second, third = table.unpack(vms())
local uses = { { account = "league", budget = "fair" } }

-- All orders that the engines have seen, in each engine's order; none of them may be older than the one before it.
local function orders_seen()
    local seen = {}
    for _, name in ipairs(backends("engines")) do
        local newest = 0
        for _, record in ipairs(audit_of(name).orders.seen) do
            expect(not record.stale and record.fencing >= newest, name .. " gets no order of a former holder")
            newest = record.fencing
            seen[#seen + 1] = record
        end
    end
    return seen
end

local function loads_of(model)
    local fencing, count = 0, 0
    for _, record in ipairs(orders_seen()) do
        if record.kind == "load_model" and record.name == model then
            fencing, count = math.max(fencing, record.fencing), count + 1
        end
    end
    return fencing, count
end

expect_equal(#orders_seen(), 0, "engines that have what is asked for get no orders")
local storms = publish("storms", { kind = "model", model = "storm-3b", accounts = uses })
until_in_force("storms", storms)
expect_equal(ask(draft(second, "early", { service = "storms" })).reason, "no_backend", "no engine has the model yet")
ask_until(draft(second, "storm", { service = "storms" }), "answered")
local before = loads_of("storm-3b")
expect(before > 0, "an engine was told to load it")

freeze(first, second)
local rains = publish("rains", { kind = "model", model = "rain-1b", accounts = uses })
until_in_force("rains", rains, { third })
ask_until(draft(third, "rain", { service = "rains" }), "answered")
thaw(first, second)
ask_until(draft(first, "rain-again", { service = "rains" }), "answered")
until_ready()
local after = loads_of("rain-1b")
expect(after >= before, "fencing numbers never fall")
say("fencing numbers: " .. before .. ", then " .. after)
expect_promises()
