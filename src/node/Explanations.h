#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "swiftlift/base/Units.h"
#include "swiftlift/node/Action.h"

namespace swiftlift::node {

/** A log line about a request, with its time. */
struct Explanation {
    Instant when {};
    LogLine line;
};

/** Retains the log lines about recent requests, for the operator's `explain` query. */
class Explanations {
public:
    /** Maximum number of requests; beyond that, the oldest is dropped. */
    static constexpr std::size_t maxRequests = 4096;
    /** Maximum number of lines per request; later lines are dropped. */
    static constexpr std::size_t maxLinesPerRequest = 32;

    /** Retains the line if it has a text field `request`. */
    void remember(const LogLine& line, Instant now);

    /** @return Log lines about the request with this caller's id, oldest first; empty: the id is unknown. */
    [[nodiscard]] std::vector<Explanation> of(const std::string& request) const;

private:
    std::map<std::string, std::vector<Explanation>> lines_;
    std::deque<std::string> order_;
};

} // namespace swiftlift::node
