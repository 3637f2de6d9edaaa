#pragma once

#include <condition_variable>
#include <deque>
#include <mutex>

#include "Http.h"

namespace review {

/** Stand-in of the platform's metadata store: the calls of a log that the router uses, with one partition a topic. */
class Store {
public:
    /** @param keep Time after which the oldest records of a topic expire. */
    explicit Store(std::chrono::seconds keep)
        : keep_(keep)
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
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

    /** Writes a keyed record, as the operator or an engine does. An empty value drops the key. */
    void put(const std::string& topic, const std::string& key, const std::string& value)
    {
        append(topic, { std::string(1, static_cast<char>(key.size())) + key + value });
    }

    /** @return The first kept offset and the end of a topic. */
    std::pair<std::uint64_t, std::uint64_t> range(const std::string& topic)
    {
        const std::lock_guard lock(mutex_);
        Topic& found = topics_[topic];
        expire(found);
        return { found.first, found.end() };
    }

    /** The most bytes that a record may have (`record_bytes`). */
    static constexpr std::size_t recordBytes = 262'144;

    /** @return Size of the last record that was offered for a topic, and how many were refused for their size. */
    std::pair<std::size_t, std::size_t> sizes(const std::string& topic)
    {
        const std::lock_guard lock(mutex_);
        return { lastSize_[topic], refused_[topic] };
    }

private:
    void noteSize(const std::string& topic, std::size_t size)
    {
        const std::lock_guard lock(mutex_);
        lastSize_[topic] = size;
        refused_[topic] += size > recordBytes ? 1 : 0;
    }

    struct Newest {
        std::uint64_t offset = 0;
        std::string value;
    };
    struct Topic {
        std::uint64_t first = 0;
        std::deque<std::pair<Clock::time_point, std::string>> records;
        std::map<std::string, Newest> newest;
        std::uint64_t end() const { return first + records.size(); }
    };

    static std::string bigEndian(std::uint64_t number, int bytes)
    {
        std::string text;
        for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
            text += static_cast<char>((number >> shift) & 0xFF);
        }
        return text;
    }

    static std::string base64(const std::string& bytes)
    {
        static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (std::size_t at = 0; at < bytes.size(); at += 3) {
            std::uint32_t group = 0;
            for (std::size_t next = 0; next < 3; ++next) {
                group = (group << 8) | (at + next < bytes.size() ? static_cast<unsigned char>(bytes[at + next]) : 0);
            }
            for (std::size_t digit = 0; digit < 4; ++digit) {
                text += at + digit <= bytes.size() ? digits[(group >> (18 - 6 * digit)) & 63] : '=';
            }
        }
        return text;
    }

    std::uint64_t append(const std::string& topic, const std::deque<std::string>& records)
    {
        const std::lock_guard lock(mutex_);
        Topic& found = topics_[topic];
        const std::uint64_t offset = found.end();
        for (const std::string& record : records) {
            if (topic.rfind("keyed.", 0) == 0 && !record.empty()) {
                const std::size_t length = static_cast<unsigned char>(record[0]);
                const std::string key = record.substr(1, length);
                if (record.size() > 1 + length) {
                    found.newest[key] = { found.end(), record.substr(1 + length) };
                } else {
                    found.newest.erase(key);
                }
            }
            found.records.emplace_back(Clock::now(), record);
        }
        changed_.notify_all();
        return offset;
    }

    void expire(Topic& topic) const
    {
        while (!topic.records.empty() && Clock::now() - topic.records.front().first > keep_) {
            topic.records.pop_front();
            ++topic.first;
        }
    }

    std::string read(const Message& request)
    {
        const auto from = std::strtoull(request.parameter("from").c_str(), nullptr, 10);
        const auto wait
            = std::min<unsigned long>(std::strtoul(request.parameter("wait_ms").c_str(), nullptr, 10), 30'000);
        const auto size = request.parameter("max_size");
        const std::size_t most = 1024 * (size.empty() ? 1024 : std::strtoul(size.c_str(), nullptr, 10));
        std::unique_lock lock(mutex_);
        Topic& topic = topics_[request.parameter("topic")];
        changed_.wait_for(lock, milliseconds(wait), [&] { return from < topic.end(); });
        expire(topic);
        if (from < topic.first) {
            return answerText("410 Gone", "", "{\"first_offset\":" + std::to_string(topic.first) + "}");
        }
        std::string body = bigEndian(topic.end(), 8) + bigEndian(topic.first, 8);
        for (auto offset = from; offset < topic.end() && body.size() < most; ++offset) {
            const std::string& record = topic.records[offset - topic.first].second;
            body += bigEndian(record.size(), 4) + record;
        }
        return answerText("200 OK", "", body, "application/octet-stream");
    }

    std::string newest(const Message& request)
    {
        const std::string after = request.parameter("after");
        const std::lock_guard lock(mutex_);
        Topic& topic = topics_[request.parameter("topic")];
        std::string entries;
        std::size_t count = 0;
        auto entry = topic.newest.upper_bound(after);
        for (; entry != topic.newest.end() && count < 500; ++entry, ++count) {
            entries += (count > 0 ? "," : "") + std::string("{\"key\":\"") + entry->first + "\",\"value\":\""
                + base64(entry->second.value) + "\",\"offset\":" + std::to_string(entry->second.offset) + "}";
        }
        return answerText("200 OK", "",
            "{\"entries\":[" + entries + "],\"has_more\":" + (entry != topic.newest.end() ? "true" : "false")
                + ",\"end_offset\":" + std::to_string(topic.end()) + "}");
    }

    std::string appendAnswer(const Message& request)
    {
        std::deque<std::string> records;
        std::size_t largest = 0;
        for (std::size_t at = 0; at + 4 <= request.body.size();) {
            std::size_t length = 0;
            for (int byte = 0; byte < 4; ++byte) {
                length = (length << 8) | static_cast<unsigned char>(request.body[at + byte]);
            }
            records.push_back(request.body.substr(at + 4, length));
            at += 4 + length;
            largest = std::max(largest, length);
        }
        const std::string topic = request.parameter("topic");
        noteSize(topic, largest);
        if (largest > recordBytes) {
            return answerText("413 Payload Too Large", "", "{\"reason\":\"record_bytes\"}");
        }
        const auto offset = append(topic, records);
        return answerText("200 OK", "",
            "{\"offset\":" + std::to_string(offset) + ",\"end_offset\":" + std::to_string(offset + records.size())
                + "}");
    }

    void serve(int descriptor)
    {
        Connection connection(descriptor);
        while (const auto request = connection.readMessage(milliseconds(120'000))) {
            const std::string path = request->path();
            std::string answer = answerText("404 Not Found", "", "{}");
            if (path == "/-/log-append") {
                answer = appendAnswer(*request);
            } else if (path == "/-/log-read") {
                answer = read(*request);
            } else if (path == "/-/log-newest") {
                answer = newest(*request);
            }
            if (!connection.write(answer)) {
                return;
            }
        }
    }

    std::chrono::seconds keep_;
    std::uint16_t port_ = 0;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Topic> topics_;
    std::map<std::string, std::size_t> lastSize_;
    std::map<std::string, std::size_t> refused_;
};

} // namespace review
