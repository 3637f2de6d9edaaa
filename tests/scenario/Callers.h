#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "Clock.h"
#include "HttpClient.h"

namespace swiftlift::scenario {

/** A request as a caller sends it. */
struct Call {
    /** Name and address of the router that is asked. */
    std::string vm;
    Address router;
    std::string account;
    std::string key;
    std::string service;
    std::string id;
    int attempt = 1;
    bool idempotent = true;
    bool stream = false;
    /** False: a plain service, `body` is sent as it is. */
    bool model = true;
    std::string prompt;
    std::int64_t maxTokens = 0;
    std::string body;
    std::optional<std::int64_t> deadlineMs;
    std::string priority;
    /** How long the caller waits for the whole answer. */
    Milliseconds patience = longBound;
};

enum class CallOutcome { Answered, Refused, Unknown, Broken };

/** @return `answered`, `refused`, `unknown`, or `broken` when the connection ended without a final word. */
[[nodiscard]] const char* toText(CallOutcome outcome) noexcept;

/** What a caller saw. */
struct Answer {
    CallOutcome outcome = CallOutcome::Broken;
    int status = 0;
    bool notRun = false;
    std::string request;
    std::string reason;
    std::string detail;
    std::string text;
    /** Of a stream: the indexes came as 0, 1, 2 and so on, and no line was of another form. */
    bool inOrder = true;
    std::int64_t tokensSeen = 0;
    std::int64_t promptTokens = 0;
    std::int64_t answerTokens = 0;
    std::int64_t billedTokens = 0;
    std::int64_t retryAfterMs = 0;
    Moment sentAt;
    std::optional<Moment> firstTokenAt;
    /** Milliseconds from each token to the next. */
    std::vector<float> gapsMs;
    Moment endedAt;
};

/** A request and what became of it. */
struct Observation {
    Call call;
    Answer answer;
};

/** Sends the call and waits for its end. */
[[nodiscard]] Answer perform(const Call& call, const std::function<void(std::int64_t)>& onTokens = {});

/**
 * @brief All callers of a run: sends requests in threads and keeps everything that they saw.
 */
class Callers {
public:
    Callers() = default;
    ~Callers();

    /** Starts a call in a thread of its own. @return Its handle. */
    [[nodiscard]] std::size_t send(Call call);

    /** @return The call's end; nothing when the bound passed. */
    [[nodiscard]] std::optional<Observation> wait(std::size_t handle, Milliseconds bound);

    /** @return Tokens that the call's stream has brought so far. */
    [[nodiscard]] std::int64_t tokensSeen(std::size_t handle);

    /** Keeps what a call made elsewhere saw. */
    void add(Observation observation);

    /** @return Everything seen so far. */
    [[nodiscard]] std::vector<Observation> all();

    /** @return Calls that have not ended. */
    [[nodiscard]] std::size_t open();

private:
    struct Pending {
        std::int64_t tokens = 0;
        std::optional<Observation> end;
    };

    void run(std::size_t handle, const Call& call);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<Pending> pending_;
    std::vector<Observation> elsewhere_;
    std::vector<std::thread> threads_;
};

} // namespace swiftlift::scenario
