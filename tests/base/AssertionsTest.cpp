#include <cassert>

#include <gtest/gtest.h>

namespace swiftlift {
namespace {

    // Assertions have to be compiled in for every build type, including those whose default flags define NDEBUG.
    // Without assertions, a router keeps spending tokens after an invariant is broken, and a Release build fails at
    // constants that only an assertion uses.
    TEST(Assertions, AreEnabledInEveryBuildType) { EXPECT_DEATH(assert(false && "invariant"), "invariant"); }

} // namespace
} // namespace swiftlift
