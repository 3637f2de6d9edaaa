-- An answer that nobody is billed for: its failure domain is killed while the bill is on its way to the log, with a
-- keeper of copies that lives, is paused, was killed a moment before, or is cut off.
serve { fleet = { shape = "burzowa", vms = 2, engines = 1, domains = 3 } }
warm_up()

--- The VM that `author` names as the keeper of its copies beyond the domain, once one answers it.
local function keeper_of(author)
    return until_true(function()
        local copies = logged(author, "copies")
        local last = copies[#copies]
        for _, vm in ipairs(vms()) do
            local starts = logged(vm, "start")
            if last and last.answers and starts[#starts] and starts[#starts].incarnation == last.keepers:sub(1, 16) then
                return vm
            end
        end
    end, nil, author .. " has a keeper")
end

local function nothing() end

local fates = {
    { name = "lives", before = nothing, after = nothing },
    { name = "paused", before = freeze, after = thaw },
    { name = "killed", before = kill, after = start },
    { name = "killed with it", before = nothing, after = start, with_it = true },
    {
        name = "cut off",
        before = function() cut("lodz-a", "lodz-b") cut("lodz-a", "wwa-1") end,
        after = function() heal("lodz-a", "lodz-b") heal("lodz-a", "wwa-1") end,
    },
}

local answered = 0
for round, fate in ipairs(fates) do
    local keeper = keeper_of("lodz-a-1")
    fate.before(keeper)
    -- The first bills take the append that is due, so that the last ones have to wait for the next.
    local calls = {}
    for number = 1, 6 do
        calls[number] = send(draft("lodz-a-1", "round-" .. round .. "-" .. number))
        look_again()
    end
    local last = wait(calls[6])
    if fate.with_it then kill("lodz-a", keeper) else kill("lodz-a") end
    say("round " .. round .. ", keeper " .. keeper .. " " .. fate.name .. ": " .. last.outcome .. " " .. last.reason)
    answered = answered + (last.outcome == "answered" and 1 or 0)
    fate.after(keeper)
    start("lodz-a")
    until_ready()
    ask_until(draft("lodz-a-1", "after-" .. round), "answered")
    ask_until(draft("lodz-a-2", "beside-" .. round), "answered")
    -- One loss at a time: the next one may take the keeper of these bills.
    until_true(function()
        for number = 1, 6 do
            if bills_of("league", "round-" .. round .. "-" .. number).counted == 0 then
                return false
            end
        end
        return true
    end, nil, "the answers of round " .. round .. " are billed")
end
expect(answered > 0, "callers are answered before the kill")
expect_promises()
