-- Shows what swiftlift does, on loopback addresses: a Stitchworks-shaped fleet of four failure domains with two VMs
-- each, a client account with a prepaid budget, and a service from one YAML document.
say("Starting four failure domains with two VMs and two engines each ...")
local built = fleet { shape = "stitchworks", vms = 2, engines = 2, plains = 1 }
start("routers")

say("Creating the client account `hockey-league` with a prepaid budget of 3000 tokens.")
account("hockey-league")
top_up("hockey-league", "fair-week", 3000)

local document = [[
service: stitch-plans
kind: model
model: stitch-7b
accounts:
  - account: hockey-league
    budget: fair-week
limits:
  deadline: 30s
backends:
]]
for _, engine in ipairs(built.engines) do
    document = document .. "  - address: " .. engine.address .. "\n    domain: " .. engine.domain .. "\n"
end
say("Publishing this service:\n\n" .. document)
local published = publish("stitch-plans", document)
until_ready()
until_in_force("stitch-plans", published)
until_bought("hockey-league", "fair-week", 3000)

local function show(answer)
    local text = #answer.text > 60 and answer.text:sub(1, 60) .. "..." or answer.text
    say(string.format("  %-12s at %-15s %-8s %s %s", answer.id, answer.vm, answer.outcome,
        answer.outcome == "answered" and "billed " .. answer.billed_tokens .. " tokens:" or answer.reason, text))
end

say("Asking for a whole answer at each VM:")
for index, vm in ipairs(vms()) do
    show(ask_until({ vm = vm, account = "hockey-league", service = "stitch-plans", id = "plan-" .. index,
        prompt = "Draft a stitch plan for the crest of club " .. index .. ".", max_tokens = 24 }, "answered"))
end
say("Asking for a stream:")
show(ask_until({ vm = vms()[1], account = "hockey-league", service = "stitch-plans", id = "stream", stream = true,
    prompt = "Explain the density of the satin border.", max_tokens = 64 }, "answered"))
say("Asking for more than the budget can pay; the refusal says that nothing was run:")
show(ask { vm = vms()[1], account = "hockey-league", service = "stitch-plans", id = "too-dear", max_tokens = 1000,
    prompt = string.rep("All orders of the season. ", 800) })

say("\nThe bill, as swiftliftctl reads it from the platform's log:")
say(ctl("budgets", "hockey-league").output)
say("What an independent audit of the callers, the engines and the log counts:")
expect_audit { overspend = 0, double_billed = 0, unbilled = 0, wrong_answers = 0, not_run_but_run = 0,
    non_idempotent_again = 0, broken = 0 }
