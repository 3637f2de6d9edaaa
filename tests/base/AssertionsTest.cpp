#include <cassert>

#include <gtest/gtest.h>

namespace swiftlift {
namespace {

    // Symptom: a router goes on spending though its invariants are broken, or a Release build fails at a constant that
    // only an assertion uses.
    // Events: the project is built with a build type whose usual flags take assertions out.
    // Cause: the project's flags kept them for one build type only.
    TEST(Assertions, StayInWhateverTheBuildType) { EXPECT_DEATH(assert(false && "invariant"), "invariant"); }

} // namespace
} // namespace swiftlift
