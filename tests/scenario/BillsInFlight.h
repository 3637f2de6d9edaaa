#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Callers.h"
#include "LuaRuntime.h"
#include "swiftlift/base/Ids.h"
#include "swiftlift/ledger/Entry.h"

namespace swiftlift::scenario {

/** Routers that were killed together, and how far the ledger had come by then. */
struct KillMark {
    std::vector<std::string> vms;
    Moment at;
    /** When any of them was killed before; what was asked earlier was asked of other processes. */
    Moment before {};
    /** Records that the log had taken just after the kill. */
    std::uint64_t records = 0;
};

/** The routers' own words that the search goes by, by VM: `start`, `bill` and `appended_for_peer` lines, in order. */
using RouterLines = std::map<std::string, std::vector<Json>>;

/** An answer that its caller had from a router before it was killed, and whose bill the log had not taken by then. */
struct BillInFlight {
    std::string request;
    std::string vm;
    /** The router's incarnation, as its log writes it. */
    std::string author;
    /** How long before the kill the caller had the answer. */
    double answeredMsBefore = 0;
    /** Where the bill is in the log; nothing: nowhere, so nobody is billed. */
    std::optional<std::uint64_t> record;
    std::uint64_t sequence = 0;
    /** VMs that appended it in the author's name, by their own word. */
    std::vector<std::string> appendedBy;
    /** The router's `bill` line of the request; null when it was lost with the process. */
    Json told;

    [[nodiscard]] Json toJson() const;
};

/**
 * @brief Finds the answers whose bills were in flight when their routers were killed.
 *
 * A run that loses no bill shows little unless there was one to lose.
 *
 * @param mark The kill.
 * @param observations What callers saw.
 * @param records The ledger's stream, from offset 0.
 * @param lines The routers' words.
 */
[[nodiscard]] std::vector<BillInFlight> findBillsInFlight(const KillMark& mark,
    const std::vector<Observation>& observations, const std::vector<ledger::Batch>& records, const RouterLines& lines);

/** @return One line for people: whether the kill met a bill in flight, and what became of each. */
[[nodiscard]] std::string describe(const KillMark& mark, const std::vector<BillInFlight>& bills);

} // namespace swiftlift::scenario
