#pragma once

#include <stdexcept>

namespace swiftlift::scenario {

/** Something that the scenario expected did not happen: the run has failed. */
class ExpectationFailed : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/** The script itself is wrong, or the runner lacks what it needs: no verdict on the product. */
class BrokenScript : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

} // namespace swiftlift::scenario
