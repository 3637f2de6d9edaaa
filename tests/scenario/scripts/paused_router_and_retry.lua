-- Symptom: a request is billed twice, an order runs twice, or one that was called "not run" runs after all.
-- Events: a router is paused with streams open and with requests that it has taken but not looked at; their callers ask
--   again elsewhere and get their word there; the router goes on, long after others took it for dead.
-- Cause: the paused router does not know that time has passed and acts on what it knew before.
serve { fleet = { shape = "stitchworks", vms = 2, engines = 1, domains = 2 } }
warm_up()

local open = send(draft("regina-a-1", "open", { stream = true, max_tokens = 600 }))
until_true(function() return tokens_seen(open) >= 5 end, nil, "the stream has begun")
freeze("regina-a-1")
local unseen, unseen_order, hasty = send(draft("regina-a-1", "unseen")), send(order("regina-a-1", "unseen-order")),
    send(draft("regina-a-1", "hasty"))

local open_again = ask_until(draft("regina-a-2", "open", { stream = true, max_tokens = 600, attempt = 2 }), "answered")
expect_equal(open_again.tokens_seen, 600, "the stream is whole elsewhere")
ask_until(draft("regina-b-1", "unseen", { attempt = 2 }), "answered")
local order_again = ask(order("regina-a-2", "unseen-order", { attempt = 2 }))
say("the order asked for again: " .. order_again.outcome .. " " .. order_again.reason)
-- Too little time to run: whoever says "not run" here speaks for the paused router too.
local hasty_again = ask(draft("regina-b-1", "hasty", { attempt = 2, deadline_ms = 1 }))
say("the hasty one asked for again: " .. hasty_again.outcome .. " " .. hasty_again.reason)

-- The others have taken the paused router for dead before it goes on.
until_true(function() return status("regina-b-1", "status").peers_alive < 3 end, nil, "the paused router is missed")
thaw("regina-a-1")
for _, handle in ipairs { open, unseen, unseen_order, hasty } do
    local late = wait(handle)
    say("from the paused router: " .. late.id .. " " .. late.outcome .. " " .. late.reason)
end
until_true(function() return status("regina-a-1", "status").ready end, nil, "the router serves again")
ask_until(draft("regina-a-1", "after"), "answered")
expect(runs_of("league", "unseen-order") <= 1, "the order ran once at most")
expect_promises()
