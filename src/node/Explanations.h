#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "swiftlift/base/Units.h"
#include "swiftlift/node/Action.h"

namespace swiftlift::node {

/** A decision that named a request. */
struct Explanation {
    Instant when {};
    LogLine line;
};

/** The latest decisions on each request, for operators who ask why. */
class Explanations {
public:
    /** Requests remembered; past that the oldest are forgotten. */
    static constexpr std::size_t remembered = 4096;
    /** Lines kept for one request. */
    static constexpr std::size_t linesPerRequest = 32;

    /** Keeps the line when it has a field `request`. */
    void remember(const LogLine& line, Instant now);

    /** @return The decisions on this caller's request id, oldest first; empty when unknown. */
    [[nodiscard]] std::vector<Explanation> of(const std::string& request) const;

private:
    std::map<std::string, std::vector<Explanation>> lines_;
    std::deque<std::string> order_;
};

} // namespace swiftlift::node
