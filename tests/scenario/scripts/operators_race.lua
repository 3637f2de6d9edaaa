-- Symptom: an operator's accepted change is silently replaced, or VMs end up with different documents.
-- Events: two operators publish the same service at once, both on top of the same revision; the append of one lands
--   seconds late; a router that was cut off meanwhile comes back; a broken document is published.
-- Cause: the last writer wins, or a late append brings an older document back into force.
serve { fleet = { shape = "stitchworks", vms = 1, engines = 1, domains = 2 } }
local first = publish("race", { kind = "plain", limits = { call_cost = 1 },
    accounts = { { account = "league", budget = "fair" } } })
until_in_force("race", first)
local function document(cost, name)
    return write_document("race", { kind = "plain", limits = { call_cost = cost },
        accounts = { { account = "league", budget = "fair" } } }, name)
end
cut("regina-b", "platform")
cut("regina-b", "regina-a")

late_appends(2000, 1)
local late = start_ctl("publish", document(2, "late"), "--author", "anna", "--expect-revision", tostring(first.revision),
    "--json")
local handles = { late }
for index = 1, 3 do
    handles[#handles + 1] = start_ctl("publish", document(2 + index, "now-" .. index), "--author", "author-" .. index,
        "--expect-revision", tostring(first.revision), "--json")
end
local winners, losers = 0, 0
for _, handle in ipairs(handles) do
    local result = wait_ctl(handle)
    say("publish: status " .. result.status .. " " .. result.output)
    winners = winners + (result.status == 0 and 1 or 0)
    losers = losers + (result.status == 1 and 1 or 0)
end
expect_equal(winners, 1, "one operator wins")
expect_equal(losers, 3, "the others are told that they lost")

local broken = try_publish("race", "service: race\nkind: neither\nlimits: { call_cost: many }\n")
expect_equal(broken.status, 2, "a broken document is refused")
expect(broken.json and #broken.json.findings >= 2, "with all findings at once: " .. broken.output)

heal("regina-b", "platform")
heal("regina-b", "regina-a")
local function revision(vm)
    for _, entry in ipairs(status(vm, "services").services) do
        if entry.service == "race" then
            return entry.revision
        end
    end
end
until_true(function() return revision("regina-a-1") > first.revision end, nil, "the winner is in force in regina-a")
until_true(function() return revision("regina-a-1") == revision("regina-b-1") end, nil, "and in regina-b")
local costs = {}
for _, vm in ipairs(vms()) do
    costs[#costs + 1] = ask_until({ vm = vm, account = "league", service = "race", id = "at-" .. vm },
        "answered").billed_tokens
end
expect_equal(costs[1], costs[2], "both VMs follow the same document")
expect(costs[1] > 1, "which is the winner's")
expect_promises()
