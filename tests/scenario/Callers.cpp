#include "Callers.h"

#include <nlohmann/json.hpp>

#include "Errors.h"

namespace swiftlift::scenario {

namespace internal {

    using nlohmann::json;

    /** Reads a reply as it comes: one JSON object a line when streamed, one object otherwise. */
    class AnswerReader {
    public:
        AnswerReader(Answer& answer, const std::function<void(std::int64_t)>& onTokens)
            : answer_(answer)
            , onTokens_(onTokens)
        {
        }

        void take(std::string_view piece)
        {
            rest_ += piece;
            for (std::size_t end = rest_.find('\n'); end != std::string::npos; end = rest_.find('\n')) {
                const std::string line = rest_.substr(0, end);
                rest_.erase(0, end + 1);
                takeLine(line);
            }
        }

        void finish()
        {
            const std::string line = std::move(rest_);
            rest_.clear();
            takeLine(line);
        }

    private:
        void takeLine(const std::string& line)
        {
            if (line.empty())
                return;
            const json object = json::parse(line, nullptr, false);
            if (!object.is_object())
                answer_.inOrder = false;
            else if (object.contains("token"))
                takeToken(object);
            else
                takeEnd(object);
        }

        void takeToken(const json& object)
        {
            const Moment now = Clock::now();
            if (answer_.firstTokenAt)
                answer_.gapsMs.push_back(static_cast<float>(millisecondsBetween(lastTokenAt_, now)));
            else
                answer_.firstTokenAt = now;
            lastTokenAt_ = now;
            if (object.value("index", std::int64_t { -1 }) != answer_.tokensSeen)
                answer_.inOrder = false;
            answer_.text += object.value("token", "");
            ++answer_.tokensSeen;
            if (onTokens_)
                onTokens_(answer_.tokensSeen);
        }

        void takeEnd(const json& object)
        {
            const std::string outcome = object.value("outcome", "");
            answer_.outcome = outcome == "answered" ? CallOutcome::Answered
                : outcome == "refused"              ? CallOutcome::Refused
                : outcome == "unknown"              ? CallOutcome::Unknown
                                                    : CallOutcome::Broken;
            answer_.notRun = object.value("run", "") == "not_run";
            answer_.request = object.value("request", "");
            answer_.reason = object.value("reason", "");
            answer_.detail = object.value("detail", "");
            if (object.contains("text") && object["text"].is_string())
                answer_.text = object["text"].get<std::string>();
            answer_.promptTokens = object.value("prompt_tokens", std::int64_t { 0 });
            answer_.answerTokens = object.value("answer_tokens", std::int64_t { 0 });
            answer_.billedTokens = object.value("billed_tokens", std::int64_t { 0 });
            answer_.retryAfterMs = object.value("retry_after_ms", std::int64_t { 0 });
        }

        Answer& answer_;
        const std::function<void(std::int64_t)>& onTokens_;
        std::string rest_;
        Moment lastTokenAt_;
    };

    std::string bodyOf(const Call& call)
    {
        if (!call.model)
            return call.body.empty() ? "{}" : call.body;
        return json { { "prompt", call.prompt }, { "max_tokens", call.maxTokens } }.dump();
    }

    HttpRequest toHttp(const Call& call)
    {
        HttpRequest request { call.router, "POST", "/v1/services/" + call.service + "/requests", {}, bodyOf(call) };
        request.headers = {
            { "Authorization", "Bearer " + call.key },
            { "Swiftlift-Account", call.account },
            { "Swiftlift-Request-Id", call.id },
            { "Swiftlift-Attempt", std::to_string(call.attempt) },
            { "Swiftlift-Idempotent", call.idempotent ? "true" : "false" },
            { "Swiftlift-Stream", call.stream ? "true" : "false" },
        };
        if (call.deadlineMs)
            request.headers.emplace_back("Swiftlift-Deadline-Ms", std::to_string(*call.deadlineMs));
        if (!call.priority.empty())
            request.headers.emplace_back("Swiftlift-Priority", call.priority);
        return request;
    }

} // namespace internal

const char* toText(CallOutcome outcome) noexcept
{
    switch (outcome) {
    case CallOutcome::Answered:
        return "answered";
    case CallOutcome::Refused:
        return "refused";
    case CallOutcome::Unknown:
        return "unknown";
    case CallOutcome::Broken:
        break;
    }
    return "broken";
}

Answer perform(const Call& call, const std::function<void(std::int64_t)>& onTokens)
{
    Answer answer;
    answer.sentAt = Clock::now();
    internal::AnswerReader reader(answer, onTokens);
    const HttpReply reply
        = exchange(internal::toHttp(call), call.patience, [&reader](std::string_view piece) { reader.take(piece); });
    reader.finish();
    answer.endedAt = Clock::now();
    answer.status = reply.status;
    if (!reply.error.empty()) {
        // The final line may have come before the connection broke, but a reply that was cut is no whole reply.
        answer.outcome = CallOutcome::Broken;
        answer.detail = reply.error;
    }
    return answer;
}

Callers::~Callers()
{
    for (auto& thread : threads_)
        thread.join();
}

std::size_t Callers::send(Call call)
{
    std::size_t handle = 0;
    {
        const std::scoped_lock lock(mutex_);
        handle = pending_.size();
        pending_.emplace_back();
    }
    threads_.emplace_back([this, handle, call = std::move(call)] { run(handle, call); });
    return handle;
}

void Callers::run(std::size_t handle, const Call& call)
{
    const Answer answer = perform(call, [this, handle](std::int64_t tokens) {
        const std::scoped_lock lock(mutex_);
        pending_[handle].tokens = tokens;
    });
    const std::scoped_lock lock(mutex_);
    pending_[handle].end = Observation { call, answer };
    changed_.notify_all();
}

std::optional<Observation> Callers::wait(std::size_t handle, Milliseconds bound)
{
    std::unique_lock lock(mutex_);
    if (handle >= pending_.size())
        throw BrokenScript("no such handle");
    changed_.wait_for(lock, bound, [this, handle] { return pending_[handle].end.has_value(); });
    return pending_[handle].end;
}

std::int64_t Callers::tokensSeen(std::size_t handle)
{
    const std::scoped_lock lock(mutex_);
    if (handle >= pending_.size())
        throw BrokenScript("no such handle");
    return pending_[handle].tokens;
}

void Callers::add(Observation observation)
{
    const std::scoped_lock lock(mutex_);
    elsewhere_.push_back(std::move(observation));
}

std::vector<Observation> Callers::all()
{
    const std::scoped_lock lock(mutex_);
    std::vector<Observation> result = elsewhere_;
    for (const auto& pending : pending_) {
        if (pending.end)
            result.push_back(*pending.end);
    }
    return result;
}

std::size_t Callers::open()
{
    const std::scoped_lock lock(mutex_);
    std::size_t count = 0;
    for (const auto& pending : pending_)
        count += pending.end ? 0 : 1;
    return count;
}

} // namespace swiftlift::scenario
