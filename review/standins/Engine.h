#pragma once

#include <atomic>
#include <functional>
#include <mutex>

#include "Http.h"
#include "Store.h"

namespace review {

/** Stand-in of an engine: it registers in the store, renews its entry, and answers requests as the pages say. */
class Engine {
public:
    using Answer = std::function<void(Connection&, const Message&, const std::string& fields)>;

    /** @param answer Writes the answer to a request that the engine runs, with the given header fields. */
    Engine(Store& store, std::string id, std::string service, std::string zone, Answer answer)
        : store_(store)
        , id_(std::move(id))
        , service_(std::move(service))
        , zone_(std::move(zone))
        , answer_(std::move(answer))
    {
        const int listener = listenOn("127.0.0.1", port_);
        std::thread([this, listener] {
            for (;;) {
                const int accepted = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted >= 0) {
                    std::thread([this, accepted] { serve(accepted); }).detach();
                }
            }
        }).detach();
        std::thread([this] {
            for (std::uint64_t sequence = 1;; ++sequence) {
                store_.put("keyed.servers", id_,
                    "{\"backend\":\"" + service_ + "\",\"address\":\"127.0.0.1:" + std::to_string(port_)
                        + "\",\"zone\":\"" + zone_ + "\",\"version\":\"v1\",\"slots\":32,\"state\":\"ready\","
                        + "\"warmup_left_ms\":0,\"sequence\":" + std::to_string(sequence) + "}");
                std::this_thread::sleep_for(milliseconds(1200));
            }
        }).detach();
    }

    int runs() const { return runs_; }

private:
    void serve(int descriptor)
    {
        Connection connection(descriptor);
        while (const auto request = connection.readMessage(milliseconds(60'000))) {
            const std::string request_id = request->field("request-id");
            const std::string expected = request->field("expect-instance");
            if (request_id.empty()) {
                connection.write(answerText("400 Bad Request", "Not-Executed: 1\r\n", ""));
                continue;
            }
            const std::string echo = "Request-Id: " + request_id + "\r\n";
            if (!expected.empty() && expected != id_) {
                connection.write(answerText("421 Misdirected Request", echo + "Instance-Id: " + id_ + "\r\n", ""));
                continue;
            }
            ++runs_;
            answer_(connection, *request, echo + "Server-Stamp: " + id_ + "." + request_id + "\r\n");
        }
    }

    Store& store_;
    std::string id_;
    std::string service_;
    std::string zone_;
    Answer answer_;
    std::uint16_t port_ = 0;
    std::atomic<int> runs_ = 0;
};

} // namespace review
