#include <array>
#include <filesystem>
#include <fstream>

#include <fcntl.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <sys/stat.h>
#include <unistd.h>

#include "swiftlift/logging/JsonLog.h"

namespace swiftlift::logging {

namespace {

    /** @return An unused path. Paths can't be reused because easylogging++ keeps a file open until the process ends. */
    std::string newPath(const std::string& name)
    {
        static int count = 0;
        const auto file = name + std::to_string(::getpid()) + "-" + std::to_string(++count);
        const auto path = std::filesystem::temp_directory_path() / file;
        std::filesystem::remove(path);
        return path;
    }

} // namespace

TEST(JsonLog, WritesOneJsonObjectPerLine)
{
    const std::string path = newPath("swiftlift-log-");
    {
        JsonLog log({ path, Level::Info, "127.0.1.1:7400", 64 });
        ASSERT_TRUE(log.isOpen());
        log.setIncarnation(0xAB);
        log.write(Level::Debug, "hidden", {});
        log.write(Level::Info, "route",
            { { "backend", std::string("a\n\"b") }, { "tokens", std::int64_t { 7 } }, { "load", 0.5 },
                { "resumed", true } });
    }
    std::ifstream file(path);
    std::string line;
    ASSERT_TRUE(std::getline(file, line));
    const auto json = nlohmann::json::parse(line);
    EXPECT_EQ(json["kind"], "route");
    EXPECT_EQ(json["level"], "info");
    EXPECT_EQ(json["vm"], "127.0.1.1:7400");
    EXPECT_EQ(json["incarnation"], "00000000000000ab");
    EXPECT_EQ(json["backend"], "a\n\"b");
    EXPECT_EQ(json["tokens"], 7);
    EXPECT_EQ(json["resumed"], true);
    EXPECT_EQ(json["time"].get<std::string>().back(), 'Z');
    EXPECT_FALSE(std::getline(file, line));
    std::filesystem::remove(path);
}

// Guards against a router that blocks because the consumer of its log has stopped reading. The log is a pipe here;
// lines fill first the pipe, then the queue. Writing threads must not block, and the dropped lines must be reported.
TEST(JsonLog, SlowConsumerCausesDroppedLinesInsteadOfBlocking)
{
    const std::string path = newPath("swiftlift-pipe-");
    ASSERT_EQ(::mkfifo(path.c_str(), 0600), 0);
    const int reader = ::open(path.c_str(), O_RDONLY | O_NONBLOCK);
    ASSERT_GE(reader, 0);
    std::string text;
    {
        JsonLog log({ path, Level::Info, "vm", 16 });
        const std::string padding(1000, 'x');
        while (log.dropped() == 0) {
            log.write(Level::Info, "line", { { "filling", padding } });
        }
        std::array<char, 65536> bytes {};
        while (text.find("log_dropped") == std::string::npos) {
            pollfd descriptor { reader, POLLIN, 0 };
            ASSERT_EQ(::poll(&descriptor, 1, 30'000), 1);
            const auto bytesRead = ::read(reader, bytes.data(), bytes.size());
            text.append(bytes.data(), bytesRead > 0 ? static_cast<std::size_t>(bytesRead) : 0);
        }
    }
    EXPECT_NE(text.find("log_dropped"), std::string::npos);
    ::close(reader);
    std::filesystem::remove(path);
}

} // namespace swiftlift::logging
