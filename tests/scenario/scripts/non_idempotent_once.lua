-- Symptom: an order is placed twice.
-- Events: an order is asked for again at another VM, in another domain, during a cut and after it; a plain service
--   takes effect and breaks off before it answers; two VMs are asked at the same time.
-- Cause: two routers dispatch the same request, or one dispatches it again after an end that it can't tell.
serve { fleet = { shape = "stitchworks", vms = 2, engines = 1, domains = 2 } }
warm_up()

local done = ask_until(order("regina-a-1", "done"), "answered")
for attempt, vm in ipairs { "regina-a-1", "regina-a-2", "regina-b-1" } do
    local again = ask(order(vm, "done", { attempt = attempt + 1 }))
    expect(again.outcome ~= "refused", "an order that ran is not called refused at " .. vm)
end
expect_equal(runs_of("league", "done"), 1, "asked for again, the order ran once")

for _, name in ipairs(backends("plains")) do
    control(name, { break_after_effect = 1 })
end
local broken = ask(order("regina-a-1", "broken"))
expect_equal(broken.outcome, "unknown", "an order whose answer broke off after its effect is unknown")
local again = ask(order("regina-a-2", "broken", { attempt = 2 }))
expect(again.outcome ~= "refused", "and stays so elsewhere")
for _, name in ipairs(backends("plains")) do
    control(name, { break_after_effect = 0 })
end
expect_equal(runs_of("league", "broken"), 1, "it ran once")

for round = 1, 10 do
    local handles = {}
    for index, vm in ipairs(vms()) do
        handles[index] = send(order(vm, "race-" .. round, { attempt = index }))
    end
    local answered = 0
    for _, handle in ipairs(handles) do
        answered = answered + (wait(handle).outcome == "answered" and 1 or 0)
    end
    expect(answered <= 1, "one VM at most answers an order that all were asked for")
    expect(runs_of("league", "race-" .. round) <= 1, "and it ran once at most")
end

cut("regina-a", "regina-b")
cut("regina-a", "platform")
local inside = ask(order("regina-a-1", "cut", { deadline_ms = 3000 }))
local outside = ask(order("regina-b-1", "cut", { attempt = 2, deadline_ms = 3000 }))
heal("regina-a", "regina-b")
heal("regina-a", "platform")
say("across the cut: inside " .. inside.outcome .. " " .. inside.reason .. ", outside " .. outside.outcome .. " "
    .. outside.reason)
until_ready()
ask(order("regina-a-2", "cut", { attempt = 3 }))
expect(runs_of("league", "cut") <= 1, "across the cut it ran once at most")
expect_promises { broken = 0 }
