-- Symptom: a backend server that names a limit, asks for rest or says that it leaves goes on getting requests.
-- Events: under load a plain service names a limit, then asks for rest, then says in its answers that it leaves.
-- Cause: routers do not read what answers state, or each keeps it for itself.
serve { fleet = { shape = "stitchworks", vms = 2, engines = 1, plains = 2, domains = 1 } }
warm_up()
local limited, orders = "regina-a-plain-1", { { account = "league", service = "orders" } }

local function arrivals() return audit_of(limited).arrivals_ms end

-- Most arrivals within 4 s, of those after the first `known`.
local function most_in_span(known)
    local times, most = arrivals(), 0
    for last = known + 1, #times do
        local count = 0
        for first = known + 1, last do
            count = count + (times[last] - times[first] <= 4000 and 1 or 0)
        end
        most = math.max(most, count)
    end
    return most
end

control(limited, { announce_limit = 2.0 })
load { calls = orders, rate = 20, seconds = 3 }
local known = #arrivals()
local bounded = load { calls = orders, rate = 20, seconds = 8 }
expect_equal(bounded.answered, bounded.sent, "the other plain service takes the rest")
expect(most_in_span(known) <= 17, "at most 1.5 x 2 a second and 5 in 4 s: " .. most_in_span(known))
expect(#arrivals() > known, "the limited one serves as much as it can bear")

control(limited, { announce_limit = 1000.0, rest_s = 3, rest_count = 2 })
load { calls = orders, rate = 20, seconds = 2 }
control(limited, { announce_leaving = true })
load { calls = orders, rate = 20, seconds = 5 }
local left = #arrivals()
local rest = load { calls = orders, rate = 20, seconds = 2 }
expect_equal(rest.answered, rest.sent, "the other plain service takes all")
expect_equal(#arrivals(), left, "the leaving one gets nothing from any router")
expect_promises { broken = 0, unknown = 0 }
