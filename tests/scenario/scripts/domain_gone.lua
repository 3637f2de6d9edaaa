-- Symptom: when a whole failure domain is gone, the others overspend, or refuse for want of the money it held.
-- Events: all routers and backend servers of a domain are killed under load, holders and their witnesses at once; the
--   others go on; the domain comes back with new processes.
-- Cause: nobody is left who knows how much of the domain's grants was spent: it has to count as spent.
-- Symptom: an answer that nobody is billed for.
-- Events: the last request before the kill is answered at lodz-a-1; its bill waits for the next append, and its copy is
--   at lodz-a-2. Both die milliseconds later, and no line `appended_for_peer` follows.
-- Cause: both copies of a bill stood in one failure domain.
serve { fleet = { shape = "burzowa", vms = 2, engines = 1, domains = 3 }, tokens = 40000 }
local calls = { { account = "league", service = "drafts", max_tokens = 16 } }
load { calls = calls, rate = 30, seconds = 3 }
kill("lodz-a-engine-1", "lodz-a-plain-1")
kill("lodz-a")
local rest = load { calls = calls, rate = 30, seconds = 4, from = vms("lodz-b"), retries = 3 }
expect(rest.answered > 0, "the other domains serve")
start("lodz-a-engine-1", "lodz-a-plain-1")
start("lodz-a")
until_ready()
ask_until(draft("lodz-a-1", "after"), "answered")
ask_until(draft("wwa-1-1", "after-too"), "answered")
expect_promises()
