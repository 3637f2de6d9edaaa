-- Symptom: callers of a VM that has lost its links to all backend servers are refused, though its peers reach them.
-- Events: one VM is partitioned from all backend servers, in each way that connections can end; then the links return.
-- Cause: a VM has no way to backend servers but its own connections, and holds their loss against the servers.
serve { fleet = { shape = "stitchworks", vms = 1, engines = 1, plains = 1, backend_links = true } }
warm_up()
local calls = { { account = "league", service = "drafts", max_tokens = 16 }, { account = "league", service = "orders" } }
local isolated = "regina-a-1"

local function answered_by(name, from)
    local count = 0
    for number = from, from + 9 do
        for _, request in ipairs { draft(isolated, name .. "-draft-" .. number, { max_tokens = 16 }),
            order(isolated, name .. "-order-" .. number) } do
            count = count + (ask(request).outcome == "answered" and 1 or 0)
        end
    end
    return count
end

for _, mode in ipairs { "refuse", "hang", "reset", "keep_old" } do
    control("link", { mode = mode })
    cut(isolated, "backends")
    load { calls = calls, rate = 20, seconds = 3 }
    -- Connections from before the partition may be all that a VM needs.
    expect(mode == "keep_old" or status(isolated, "status").links_lost, "its status tells, " .. mode)
    expect_equal(answered_by(mode, 1), 20, "callers of the VM without links are served, " .. mode)
    heal(isolated, "backends")
    load { calls = calls, rate = 20, seconds = 2 }
    expect_equal(answered_by(mode, 11), 20, "and when its links work again, " .. mode)
end
local states = {}
for _, line in ipairs(logged(isolated, "links")) do
    states[line.change] = (states[line.change] or 0) + 1
end
expect(states.lost and states.lost >= 3, "each partition was noticed")
expect(states.restored and states.restored >= 3, "and its end")
expect_promises()
