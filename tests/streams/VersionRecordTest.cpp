#include <gtest/gtest.h>

#include "swiftlift/streams/VersionRecord.h"

namespace swiftlift::streams::test {
namespace {

    TEST(VersionRecord, IsReadAsItWasWritten)
    {
        const VersionRecord record { { { ServiceName("model"), { SoftwareVersion("v1"), SoftwareVersion("v2") } },
                                         { ServiceName("plain"), { SoftwareVersion("") } } },
            { { StreamId("a"), SoftwareVersion("v1") }, { StreamId("b"), SoftwareVersion("v2") },
                { StreamId("c"), SoftwareVersion("v1") } } };
        EXPECT_EQ(decodeVersionRecord(encode(record)), record);
    }

    TEST(VersionRecord, OtherBytesAreRejected) { EXPECT_FALSE(decodeVersionRecord("\xff\xff")); }

    TEST(VersionRecord, CommonVersionsAreThoseOfBoth)
    {
        const ServiceName model("model");
        const ServiceVersions left { { model, { SoftwareVersion("v1"), SoftwareVersion("v2") } } };
        const ServiceVersions right { { model, { SoftwareVersion("v2") } }, { ServiceName("plain"), {} } };
        EXPECT_EQ(common(left, right), (ServiceVersions { { model, { SoftwareVersion("v2") } } }));
    }

} // namespace
} // namespace swiftlift::streams::test
