#include <algorithm>
#include <atomic>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <mutex>
#include <ostream>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <unistd.h>

#include "platform/PlatformFleet.h"
#include "platform/RawEngine.h"

namespace swiftlift::platform::test {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::steady_clock;

    constexpr std::size_t asked = 0;
    constexpr std::size_t endlessAnswers = 64;
    constexpr std::size_t kibibyte = 1024;
    /** Memory of a router's VM. */
    constexpr std::size_t maxResidentBytes = 160 * kibibyte * kibibyte;
    /** Memory that one endless answer may cost. */
    constexpr std::size_t maxBytesPerAnswer = 300 * kibibyte;
    constexpr milliseconds memoryInterval { 20 };
    constexpr std::size_t modelEngines = 2;
    constexpr std::uint64_t timeLimitMs = 5'000;
    /** Time by which each caller has an answer: its deadline and a margin for a loaded machine. */
    constexpr milliseconds maxTime { 8'000 };
    /** Pause of the engines that send slowly: shorter than each time limit of the router. */
    constexpr milliseconds slowPause { 200 };
    constexpr milliseconds otherCallInterval { 20 };
    constexpr std::size_t leastOtherCalls = 5;
    /** Rounds of requests that are sent at once until enough of them were answered as the test needs it. */
    constexpr int maxRounds = 5;

    /** How an engine answers. `{id}` and `{stamp}` stand for the request's id and for the proof that it was run. */
    struct EndlessCase {
        std::string name;
        std::string start;
        std::string repeatedPart;
        milliseconds pause { 0 };
        /** The bytes follow a complete answer. */
        bool answered = false;
    };

    void PrintTo(const EndlessCase& endless, std::ostream* out) { *out << endless.name; }

    std::string replaced(std::string text, const std::string& name, const std::string& value)
    {
        for (auto at = text.find(name); at != std::string::npos; at = text.find(name, at + value.size())) {
            text.replace(at, name.size(), value);
        }
        return text;
    }

    std::string repeated(const std::string& text)
    {
        constexpr std::size_t length = 8 * kibibyte;
        std::string all;
        while (all.size() < length) {
            all += text;
        }
        return all;
    }

    /** An engine that answers each request with bytes without end. */
    class EndlessEngine {
    public:
        EndlessEngine(std::string id, EndlessCase endless)
            : endless_(std::move(endless))
            , engine_(std::move(id), [this](const RawEngine::Request& request) { write(request); })
        {
        }

        [[nodiscard]] std::string address() const { return engine_.address(); }
        [[nodiscard]] const std::string& id() const noexcept { return engine_.id(); }
        [[nodiscard]] std::uint64_t requests() const { return engine_.requests(); }
        [[nodiscard]] std::uint64_t sentBytes() const { return sentBytes_; }

    private:
        void write(const RawEngine::Request& request)
        {
            const auto filled = [&](const std::string& text) {
                return replaced(replaced(text, "{id}", request.id), "{stamp}", request.stamp);
            };
            const bool slow = endless_.pause.count() > 0;
            const std::string part = slow ? filled(endless_.repeatedPart) : repeated(filled(endless_.repeatedPart));
            boost::system::error_code error;
            // In one write: a router that has seen the end of an answer and nothing after it may keep the connection,
            // and the bytes that follow would then meet a request that runs only once.
            sentBytes_ += boost::asio::write(request.socket, boost::asio::buffer(filled(endless_.start) + part), error);
            while (!error && !request.ends) {
                std::this_thread::sleep_for(endless_.pause);
                sentBytes_ += boost::asio::write(request.socket, boost::asio::buffer(part), error);
            }
        }

        EndlessCase endless_;
        std::atomic<std::uint64_t> sentBytes_ = 0;
        RawEngine engine_;
    };

    /** Resident memory of a process, read at intervals. */
    class MemoryWatch {
    public:
        explicit MemoryWatch(pid_t process)
            : status_("/proc/" + std::to_string(process) + "/status")
            , first_(read())
            , most_(first_)
            , thread_([this] { watch(); })
        {
        }
        ~MemoryWatch()
        {
            ends_ = true;
            thread_.join();
        }
        MemoryWatch(const MemoryWatch&) = delete;
        MemoryWatch& operator=(const MemoryWatch&) = delete;

        [[nodiscard]] std::size_t first() const { return first_; }
        [[nodiscard]] std::size_t most() const { return most_; }

    private:
        /** @return Bytes; 0: the process has ended. */
        [[nodiscard]] std::size_t read() const
        {
            std::ifstream file(status_);
            std::string word;
            while (file >> word) {
                if (std::size_t count = 0; word == "VmRSS:" && file >> count) {
                    return count * kibibyte;
                }
            }
            return 0;
        }

        void watch()
        {
            while (!ends_) {
                most_ = std::max(most_.load(), read());
                std::this_thread::sleep_for(memoryInterval);
            }
        }

        std::filesystem::path status_;
        std::size_t first_;
        std::atomic<std::size_t> most_;
        std::atomic<bool> ends_ = false;
        std::thread thread_;
    };

    const std::string ok = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: {stamp}\r\n";
    const std::string complete = ok + "Content-Length: 2\r\n\r\n{}";

    /** The ways in which an engine sends bytes without end. */
    std::vector<EndlessCase> endlessCases()
    {
        const std::string line(1000, 'x');
        const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
        const std::string interim = "HTTP/1.1 102 Processing\r\n\r\n";
        const std::string other
            = "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Stamp: 1\r\nContent-Length: 2\r\n\r\n{}";
        return {
            { "HeaderLine", ok + "X: ", line },
            { "HeaderLines", ok, "X: filler\r\n" },
            { "Chunks", chunked, "3e8\r\n" + line + "\r\n" },
            { "UnreachedLength", ok + "Content-Length: 4000000000000000000\r\n\r\n", line },
            { "NoLength", ok + "\r\n", line },
            { "Trailers", chunked + "0\r\n", "X: filler\r\n" },
            { "InterimHeads", "", interim },
            { "OtherAnswers", "", other },
            { "Refusal", "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n\r\n", line },
            { "SlowHeader", ok, "X: filler\r\n", slowPause },
            { "SlowChunks", chunked, "1\r\nx\r\n", slowPause },
            { "SlowInterimHeads", "", interim, slowPause },
            { "SlowOtherAnswers", "", other, slowPause },
            { "AfterTheEnd", complete, complete, milliseconds(0), true },
            { "SlowAfterTheEnd", complete, "x", slowPause, true },
        };
    }

    /** Answers to requests that were sent at once. */
    struct Answers {
        std::vector<CallerAnswer> all;
        milliseconds longest { 0 };
    };

    class EndlessAnswersFleetTest : public testing::TestWithParam<EndlessCase> {
    protected:
        void SetUp() override
        {
            folder_ = std::filesystem::temp_directory_path() / ("swiftlift-endless-" + std::to_string(::getpid()));
            fleet_ = std::make_unique<PlatformFleet>(SWIFTLIFT_ROUTER, folder_, 10'000'000,
                FleetSize { .modelEngines = modelEngines, .routeTimeoutMs = timeLimitMs });
            ASSERT_TRUE(fleet_->start());
            // Memory that sound answers cost as well is not counted.
            // A busy machine's router refuses some of the first ones as overloaded.
            std::size_t whole = 0;
            for (int round = 0; round < maxRounds && whole < endlessAnswers; ++round) {
                whole = countOf(sendAtOnce("sound" + std::to_string(round) + "-"), 200);
            }
            ASSERT_EQ(whole, endlessAnswers);
            replaceEngines();
        }

        void TearDown() override
        {
            fleet_.reset();
            engines_.clear();
            std::filesystem::remove_all(folder_);
        }

        /** Puts an endless engine in place of each engine that gives whole answers. */
        void replaceEngines()
        {
            for (const auto& engine : engines_) {
                fleet_->unregisterId(engine->id());
            }
            for (std::size_t engine = modelEngines; engine < fleet_->engines(); ++engine) {
                const std::string id = "endless-" + std::to_string(engines_.size());
                engines_.push_back(std::make_unique<EndlessEngine>(id, GetParam()));
                auto entry = fleet_->entryOf(engine, "ready");
                entry["address"] = engines_.back()->address();
                entry["slots"] = endlessAnswers;
                fleet_->unregisterEngine(engine);
                fleet_->putForeignEntry(id, entry.dump());
            }
            constexpr milliseconds spread { 1'500 };
            std::this_thread::sleep_for(spread);
        }

        /** Half of the requests may run only once. */
        Answers sendAtOnce(const std::string& name)
        {
            Answers answers;
            answers.all.resize(endlessAnswers);
            std::vector<std::thread> callers;
            const auto begin = steady_clock::now();
            for (std::size_t index = 0; index < endlessAnswers; ++index) {
                callers.emplace_back([&, index] {
                    answers.all[index] = fleet_->send(asked,
                        { .path = index % 2 == 0 ? "/plain/x" : "/order/x",
                            .id = name + std::to_string(index),
                            .deadlineMs = timeLimitMs });
                });
            }
            for (std::thread& caller : callers) {
                caller.join();
            }
            answers.longest = std::chrono::duration_cast<milliseconds>(steady_clock::now() - begin);
            return answers;
        }

        static std::size_t countOf(const Answers& answers, unsigned status)
        {
            return static_cast<std::size_t>(std::ranges::count(answers.all, status, &CallerAnswer::status));
        }

        /** Sends requests of another caller to sound engines until told to end. @return Answers that are not whole. */
        std::size_t sendOthers(const std::atomic<bool>& ends, std::size_t& sent) const
        {
            std::size_t broken = 0;
            while (!ends || sent < leastOtherCalls) {
                const std::string id = "other" + std::to_string(sent++);
                const CallerAnswer answer = fleet_->send(asked, { .path = "/stream/x", .id = id, .tokens = "12,35" });
                const bool whole = answer.status == 200 && answer.body.find("id: 5\n") != std::string::npos;
                broken += whole ? 0 : 1;
                if (!whole) {
                    std::cout << id << ": status " << answer.status << " " << answer.body.substr(0, 80) << '\n';
                }
                std::this_thread::sleep_for(otherCallInterval);
            }
            return broken;
        }

        void expectEnds(const Answers& answers) const
        {
            EXPECT_LT(answers.longest, maxTime);
            for (const CallerAnswer& answer : answers.all) {
                EXPECT_NE(answer.status, 0U) << "no answer";
                EXPECT_EQ(answer.status == 200, GetParam().answered) << answer.status << " " << answer.body;
            }
        }

        [[nodiscard]] std::uint64_t endlessRequests() const
        {
            std::uint64_t sum = 0;
            for (const auto& engine : engines_) {
                sum += engine->requests();
            }
            return sum;
        }

        [[nodiscard]] std::uint64_t sentBytes() const
        {
            std::uint64_t sum = 0;
            for (const auto& engine : engines_) {
                sum += engine->sentBytes();
            }
            return sum;
        }

        std::filesystem::path folder_;
        std::unique_ptr<PlatformFleet> fleet_;
        std::vector<std::unique_ptr<EndlessEngine>> engines_;
    };

    // Guards against a router whose memory, or whose service to other callers, is exhausted by many answers without end
    // at once.
    TEST_P(EndlessAnswersFleetTest, CostLittleMemoryAndNoOtherAnswer)
    {
        const MemoryWatch memory(fleet_->router(asked).pid());
        std::atomic<bool> ends = false;
        std::size_t others = 0;
        std::size_t brokenOthers = 0;
        std::thread other([&] { brokenOthers = sendOthers(ends, others); });
        milliseconds longest { 0 };
        std::uint64_t mostAtOnce = 0;
        for (int round = 0; round < maxRounds && mostAtOnce < endlessAnswers / 2; ++round) {
            if (round > 0) {
                replaceEngines();
            }
            const std::uint64_t before = endlessRequests();
            const Answers answers = sendAtOnce("endless" + std::to_string(round) + "-");
            expectEnds(answers);
            longest = std::max(longest, answers.longest);
            mostAtOnce = std::max(mostAtOnce, endlessRequests() - before);
        }
        ends = true;
        other.join();
        EXPECT_EQ(brokenOthers, 0U) << "of " << others;
        EXPECT_GE(mostAtOnce, endlessAnswers / 2) << "too few endless answers began";
        EXPECT_LT(memory.most(), maxResidentBytes);
        EXPECT_LT(memory.most() - memory.first(), endlessAnswers * maxBytesPerAnswer);
        for (std::size_t router = 0; router < fleet_->routers(); ++router) {
            EXPECT_TRUE(fleet_->router(router).running());
        }
        std::cout << GetParam().name << ": " << endlessRequests() << " answers, " << sentBytes() / kibibyte
                  << " KiB sent, memory " << memory.first() / kibibyte << " KiB, at most " << memory.most() / kibibyte
                  << " KiB; " << others << " other answers; longest " << longest.count() << " ms\n";
    }

    INSTANTIATE_TEST_SUITE_P(All, EndlessAnswersFleetTest, testing::ValuesIn(endlessCases()),
        [](const auto& endless) { return endless.param.name; });

} // namespace
} // namespace swiftlift::platform::test
