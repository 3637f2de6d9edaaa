#pragma once

namespace swiftlift::scenario {

/** Verbs that take a function, and so are written in the test language itself. */
inline constexpr const char* prelude = R"lua(
local built_fleet

local build_fleet = fleet
function fleet(shape)
    built_fleet = build_fleet(shape)
    return built_fleet
end

--- Names of all VMs, or of one domain's.
function vms(domain)
    local names = {}
    for _, vm in ipairs(built_fleet.vms) do
        if domain == nil or vm.domain == domain then
            names[#names + 1] = vm.name
        end
    end
    return names
end

--- Names of the backend servers of one kind ("engines" or "plains"), of one domain or of all.
function backends(kind, domain)
    local names = {}
    for _, backend in ipairs(built_fleet[kind]) do
        if domain == nil or backend.domain == domain then
            names[#names + 1] = backend.name
        end
    end
    return names
end

--- Address of a backend server.
function address_of(name)
    for _, kind in ipairs { "engines", "plains" } do
        for _, backend in ipairs(built_fleet[kind]) do
            if backend.name == name then
                return backend.address
            end
        end
    end
    error("no backend server " .. name)
end

--- Looks again and again until check() gives a true value, and returns it; fails after `bound` seconds.
function until_true(check, bound, text)
    local ends = now_ms() + (bound or 60) * 1000
    while true do
        local result = check()
        if result then
            return result
        end
        if now_ms() >= ends then
            expect(false, "never came true: " .. tostring(text))
        end
        look_again()
    end
end

--- Looks at an operators' page of each of these VMs (all that run, when none are named) until check(page) holds there.
function until_all(names, topic, check, text)
    for _, name in ipairs(names or vms()) do
        if names or running(name) then
            until_true(function() return check(status(name, topic)) end, nil, name .. ": " .. text)
        end
    end
end

--- Waits until the VMs serve callers.
function until_ready(names)
    until_all(names, "status", function(page) return page.ready end, "is ready")
end

--- Waits until the service's revision (as publish gave it) or a later one is in force at the VMs.
function until_in_force(service, published, names)
    until_all(names, "services", function(page)
        for _, entry in ipairs(page.services) do
            if entry.service == service and (published == nil or entry.revision >= published.revision) then
                return true
            end
        end
    end, service .. " is in force")
end

--- Waits until the VMs have read that so many tokens were bought for the budget.
function until_bought(account, budget, tokens, names)
    until_all(names, "budgets", function(page)
        for _, entry in ipairs(page.budgets) do
            if entry.account == account and entry.budget == budget and entry.bought >= tokens then
                return true
            end
        end
    end, "has read that " .. tokens .. " tokens were bought for " .. account .. "/" .. budget)
end

--- The usual beginning of a scenario: builds the fleet, starts its routers, and puts two services in force: `drafts` at
--- the engines and `orders` (7 tokens a call) at the plain services. `tokens` is what each of `accounts` buys for its
--- budget `fair`.
function serve(options)
    local accounts = options.accounts or { "league" }
    local tokens = options.tokens or 1000000
    local uses = {}
    fleet(options.fleet)
    start("routers")
    for _, name in ipairs(accounts) do
        account(name)
        top_up(name, "fair", tokens)
        uses[#uses + 1] = { account = name, budget = "fair" }
    end
    local drafts = publish("drafts", { kind = "model", model = "stitch-7b", accounts = uses, limits = options.limits,
        retry = options.retry })
    local orders = publish("orders", { kind = "plain", accounts = uses, limits = { call_cost = 7 } })
    until_ready()
    until_in_force("drafts", drafts)
    until_in_force("orders", orders)
    for _, name in ipairs(accounts) do
        until_bought(name, "fair", tokens)
    end
end

--- A request of the usual kind; `more` adds to it.
function draft(vm, id, more)
    local request = { vm = vm, account = "league", service = "drafts", id = id }
    for name, value in pairs(more or {}) do
        request[name] = value
    end
    return request
end

function order(vm, id, more)
    local request = draft(vm, id, more)
    request.service = "orders"
    request.idempotent = false
    return request
end

--- One answered request at each VM, so that each has money at hand when a fault begins.
function warm_up(names, more)
    for _, name in ipairs(names or vms()) do
        ask_until(draft(name, "warm-up-" .. name, more), "answered")
    end
end

--- The counts that no fault may change; `more` adds to them.
function expect_promises(more)
    local wanted = { overspend = 0, double_billed = 0, unbilled = 0, bill_mismatch = 0, wrong_answers = 0,
        not_run_but_run = 0, non_idempotent_again = 0, grants_overdrawn = 0 }
    for name, value in pairs(more or {}) do
        wanted[name] = value
    end
    return expect_audit(wanted)
end

--- Sends and waits: the answer of one request.
function ask(request)
    return wait(send(request))
end

--- Asks again with the same id until the answer is one of the wanted outcomes; a caller's usual retry.
function ask_until(request, outcome, bound)
    local attempt = request.attempt or 1
    return until_true(function()
        request.attempt = attempt
        attempt = attempt + 1
        local answer = ask(request)
        return answer.outcome == outcome and answer or nil
    end, bound, "request " .. request.id .. " is " .. outcome)
end
)lua";

} // namespace swiftlift::scenario
