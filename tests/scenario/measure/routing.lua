-- Measures a routing policy with real processes on the Stitchworks shape; scripts/measure-routing runs it for each of
-- them. No verdict: it prints rows, `row TEXT`, columns as in `head`. Environment: ROUTING_POLICY, ROUTING_PARTS (words:
-- ordinary, domain, flood), ROUTING_RATE (requests a second).
--
-- The engines: 8 sequences in a batch, a step of 20 ms, 0.05 ms for a prompt token that is not cached, memory for 24,576
-- tokens, reports and cache events 300 ms late, one cache event in 50 lost. A request has 1,100 prompt tokens; for nine in
-- ten, 1,024 of them are one of 48 shared prefixes, the first ones more often. Answers have 16 to 96 tokens, 48 in the
-- mean. With every shared prefix cached an engine then serves 8 a second, all of them 160.
local policy = os.getenv("ROUTING_POLICY") or "affinity"
local parts = os.getenv("ROUTING_PARTS") or "ordinary domain flood"
local rate = tonumber(os.getenv("ROUTING_RATE") or "100")
local capacity = 160
local lengths = { 16, 32, 48, 96 }
local accounts = {}
for index = 1, 10 do
    accounts[index] = "club-" .. index
end
local behaving = { table.unpack(accounts, 1, 9) }
local flooder = accounts[10]

serve {
    fleet = { shape = "stitchworks", vms = 2, engines = 5, plains = { 1, 0, 0, 0 }, capacity = 8, step_ms = 20, routing_policy = policy,
        engine_options = { ["prefill-token-ms"] = 0.05, ["cache-tokens"] = 24576, ["load-lag-ms"] = 300,
            ["event-lag-ms"] = 300, ["event-gap"] = 0.02 } },
    accounts = accounts, tokens = 1000000000,
}
warm_up(nil, { account = accounts[1] })

--- One call of each length for each account; the flooder's are there `weight` times.
local function calls_of(weight)
    local calls = {}
    for _, name in ipairs(accounts) do
        for _, length in ipairs(lengths) do
            for _ = 1, name == flooder and weight or 1 do
                calls[#calls + 1] = { account = name, service = "drafts", max_tokens = length, stream = true }
            end
        end
    end
    return calls
end

local function load_of(name, requests, seconds, weight)
    return start_load { calls = calls_of(weight or 1), rate = requests, seconds = seconds, ids = name, prefixes = 48,
        skew = 2, prefix_bytes = 4096, prompt_bytes = 4400, shared_percent = 90, places = 600 }
end

local function totals()
    local sums = {}
    for _, name in ipairs(backends("engines")) do
        sums[name] = audit_of(name).totals
    end
    return sums
end

--- What the engines did between two looks: share of prompt tokens that were cached, and how unequal their work was.
local function engine_columns(before, after)
    local prompt, cached, started, most, count = 0, 0, 0, 0, 0
    for name, now in pairs(after) do
        local own = now.started - before[name].started
        prompt = prompt + now.prompt_tokens - before[name].prompt_tokens
        cached = cached + now.cached_prompt_tokens - before[name].cached_prompt_tokens
        started, most, count = started + own, math.max(most, own), count + 1
    end
    local squares = 0
    for name, now in pairs(after) do
        squares = squares + (now.started - before[name].started - started / count) ^ 2
    end
    return string.format("%5.1f %6.2f %6.2f", 100 * cached / prompt, most * count / started,
        math.sqrt(squares / count) * count / started)
end

local function reasons_text(result)
    local words = {}
    for reason, count in pairs(result.reasons) do
        words[#words + 1] = reason .. "=" .. count
    end
    table.sort(words)
    return #words > 0 and table.concat(words, ",") or "-"
end

local function row(name, result, engines)
    say(string.format("row %-12s %-28s %6d %6d %7.0f %7.0f %7.0f %6.1f %6.1f %20s %s", policy, name, result.requests,
        result.answered, result.first_p50, result.first_p95, result.first_p99, result.between_p50, result.between_p95,
        engines or "- - -", reasons_text(result)))
end

local function wait_and_say(handle)
    local counts = wait_load(handle)
    say("sent " .. counts.sent .. ", started late " .. counts.started_late .. ", broken " .. counts.broken)
end

--- A load of its own fills the caches, then the measured one begins.
local function ordinary()
    wait_load(load_of("fill", rate, 10))
    local before = totals()
    local handle = load_of("ordinary", rate, 30)
    wait_and_say(handle)
    row("ordinary", measured { load = handle }, engine_columns(before, totals()))
end

--- Seconds after `from` until the first second from which three in a row have a first token p95 below `limit`.
local function recovered_after(handle, from, ends, limit)
    local good = 0
    for second = from, ends - 1 do
        local now = measured { load = handle, from = second, to = second + 1 }
        good = (now.requests > 0 and now.answered == now.requests and now.first_p95 <= limit) and good + 1 or 0
        if good == 3 then
            return second - 2 - from
        end
    end
    return "not by the end"
end

--- The engines of one domain all go at 15 s and are back at 35 s, by `control`: `leaving` or `refuse`.
local function domain_gone(control_name)
    local seconds = 60
    local handle = load_of("domain-" .. control_name, rate, seconds)
    local begin = now_ms()
    local function at(second)
        until_true(function() return now_ms() - begin >= second * 1000 end, nil, "the load is so far")
    end
    at(15)
    for _, name in ipairs(backends("engines", "regina-a")) do
        control(name, { [control_name] = true })
    end
    at(35)
    for _, name in ipairs(backends("engines", "regina-a")) do
        control(name, { [control_name] = false })
    end
    wait_and_say(handle)
    local usual = measured { load = handle, from = 5, to = 15 }
    row("domain " .. control_name .. ": before", usual)
    row("domain " .. control_name .. ": first 5 s", measured { load = handle, from = 15, to = 20 })
    row("domain " .. control_name .. ": later 15 s", measured { load = handle, from = 20, to = 35 })
    row("domain " .. control_name .. ": 5 s after", measured { load = handle, from = 35, to = 40 })
    row("domain " .. control_name .. ": later", measured { load = handle, from = 40, to = seconds })
    local limit = 1.5 * usual.first_p95
    say("recovery " .. policy .. " " .. control_name .. ": first token p95 within 1.5 of before for 3 s, from "
        .. tostring(recovered_after(handle, 15, 35, limit)) .. " s after it went, and from "
        .. tostring(recovered_after(handle, 35, seconds, limit)) .. " s after it came back")
end

--- Ten accounts at their tenths of the load; then one of them sends five tenths of the engines' capacity instead.
local function flood()
    local weight = 5 * capacity / rate
    local flooded_rate = rate * 9 / 10 + 5 * capacity / 10
    for _, case in ipairs { { "without flood", rate, 1 }, { "with flood", flooded_rate, math.floor(weight + 0.5) } } do
        local handle = load_of("flood-" .. case[3], case[2], 25, case[3])
        wait_and_say(handle)
        row(case[1] .. ": the nine", measured { load = handle, accounts = behaving, from = 5 })
        row(case[1] .. ": the tenth", measured { load = handle, accounts = { flooder }, from = 5 })
    end
end

if parts:find("ordinary") then ordinary() end
if parts:find("domain") then
    domain_gone("leaving")
    domain_gone("refuse")
end
if parts:find("flood") then flood() end
expect_promises()
