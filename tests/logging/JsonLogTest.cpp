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

    /** @return A path not used before: easylogging++ keeps a file open, by its name, for the rest of the process. */
    std::string newPath(const std::string& name)
    {
        static int count = 0;
        const auto file = name + std::to_string(::getpid()) + "-" + std::to_string(++count);
        const auto path = std::filesystem::temp_directory_path() / file;
        std::filesystem::remove(path);
        return path;
    }

} // namespace

TEST(JsonLog, WritesOneObjectALine)
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

// Symptom: the router stands still because nobody reads its log. The log is a pipe whose reader has stopped; the lines
// fill the pipe, then the ring. Whoever writes must go on, and the lost lines must be told.
TEST(JsonLog, SlowConsumerCostsLinesButBlocksNobody)
{
    const std::string path = newPath("swiftlift-pipe-");
    ASSERT_EQ(::mkfifo(path.c_str(), 0600), 0);
    const int reader = ::open(path.c_str(), O_RDONLY | O_NONBLOCK);
    ASSERT_GE(reader, 0);
    std::string text;
    {
        JsonLog log({ path, Level::Info, "vm", 16 });
        const std::string filling(1000, 'x');
        while (log.dropped() == 0) {
            log.write(Level::Info, "line", { { "filling", filling } });
        }
        std::array<char, 65536> bytes {};
        while (text.find("log_dropped") == std::string::npos) {
            pollfd waited { reader, POLLIN, 0 };
            ASSERT_EQ(::poll(&waited, 1, 30'000), 1);
            const auto got = ::read(reader, bytes.data(), bytes.size());
            text.append(bytes.data(), got > 0 ? static_cast<std::size_t>(got) : 0);
        }
    }
    EXPECT_NE(text.find("log_dropped"), std::string::npos);
    ::close(reader);
    std::filesystem::remove(path);
}

} // namespace swiftlift::logging
