// Stand-ins of the platform: its store (the log), engines and the template of a router's settings.
#pragma once

#include <condition_variable>
#include <deque>
#include <fstream>
#include <set>
#include <sstream>

#include <nlohmann/json.hpp>

#include "Net.h"

namespace fleetcase {

using Json = nlohmann::json;

/** Lines of what was sent, answered and run. */
class Record {
public:
    explicit Record(const std::string& path)
        : file_(path)
    {
    }
    void write(const std::string& line)
    {
        const std::lock_guard lock(mutex_);
        char time[32];
        std::snprintf(time, sizeof time, "%9.3f ", now());
        file_ << time << line << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
};

inline std::string bigEndian(std::uint64_t number, std::size_t bytes)
{
    std::string text(bytes, '\0');
    for (std::size_t index = bytes; index > 0; --index, number >>= 8U) {
        text[index - 1] = static_cast<char>(number & 0xFFU);
    }
    return text;
}

inline std::string base64(const std::string& bytes)
{
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t byte = 0; byte < 3; ++byte) {
            group = group << 8U | (at + byte < bytes.size() ? static_cast<unsigned char>(bytes[at + byte]) : 0U);
        }
        for (std::size_t digit = 0; digit < 4; ++digit) {
            text += at + digit > bytes.size() ? '=' : digits[group >> (18 - 6 * digit) & 63U];
        }
    }
    return text;
}

/** The platform's metadata store: appends, reads with long polls, newest records of keys, records that expire. */
class Store {
public:
    /** @param keepSeconds Records older than this expire; the newest record of each key is retained. */
    Store(const std::string& ip, double keepSeconds)
        : keepSeconds_(keepSeconds)
        , listener_({ ip, 0 }, [this](Connection& connection) { serve(connection); })
    {
    }

    [[nodiscard]] const Address& address() const { return listener_.address(); }

    /** @return When the record was accepted. */
    double put(const std::string& topic, const std::string& key, const std::string& value)
    {
        return append(topic, { bigEndian(key.size(), 1) + key + value }).at;
    }

    /** @return First and end offset of the topic's partition. */
    std::pair<std::uint64_t, std::uint64_t> offsets(const std::string& topic)
    {
        const std::lock_guard lock(mutex_);
        Topic& found = topics_[topic];
        expire(found);
        return { found.first, found.end() };
    }

private:
    struct Entry {
        std::string record;
        double at = 0;
    };
    struct Newest {
        std::uint64_t offset = 0;
        std::string value;
    };
    struct Topic {
        std::uint64_t first = 0;
        std::deque<Entry> entries;
        std::map<std::string, Newest> newest;
        [[nodiscard]] std::uint64_t end() const { return first + entries.size(); }
    };
    struct Appended {
        std::uint64_t offset = 0;
        std::uint64_t end = 0;
        double at = 0;
    };

    Appended append(const std::string& name, const std::vector<std::string>& records)
    {
        const std::lock_guard lock(mutex_);
        Topic& topic = topics_[name];
        const Appended result { topic.end(), topic.end() + records.size(), now() };
        for (const std::string& record : records) {
            if (name.starts_with("keyed.")) {
                const auto length = static_cast<unsigned char>(record.at(0));
                const std::string key = record.substr(1, length);
                if (record.size() > 1U + length) {
                    topic.newest[key] = { topic.end(), record.substr(1U + length) };
                } else {
                    topic.newest.erase(key);
                }
            }
            topic.entries.push_back({ record, result.at });
        }
        appended_.notify_all();
        return result;
    }

    void expire(Topic& topic) const
    {
        while (!topic.entries.empty() && topic.entries.front().at < now() - keepSeconds_) {
            topic.entries.pop_front();
            ++topic.first;
        }
    }

    static std::map<std::string, std::string> queryOf(const std::string& target)
    {
        std::map<std::string, std::string> query;
        const auto mark = target.find('?');
        std::stringstream parts(mark == std::string::npos ? "" : target.substr(mark + 1));
        for (std::string part; std::getline(parts, part, '&');) {
            const auto equals = part.find('=');
            query[part.substr(0, equals)] = equals == std::string::npos ? "" : part.substr(equals + 1);
        }
        return query;
    }

    void serve(Connection& connection)
    {
        Message request;
        while (connection.read(request, Clock::now() + std::chrono::minutes(5))) {
            std::this_thread::sleep_for(Milliseconds(4));
            const std::string target = request.word(1);
            const std::string path = target.substr(0, target.find('?'));
            auto query = queryOf(target);
            std::string answer;
            if (path == "/-/log-append") {
                answer = appendAnswer(query["topic"], request.body);
            } else if (path == "/-/log-read") {
                answer = readAnswer(query);
            } else if (path == "/-/log-newest") {
                answer = newestAnswer(query);
            } else {
                answer = answerText(404, "text/plain", {}, "");
            }
            if (!connection.write(answer)) {
                return;
            }
        }
    }

    std::string appendAnswer(const std::string& topic, const std::string& body)
    {
        std::vector<std::string> records;
        for (std::size_t at = 0; at + 4 <= body.size();) {
            std::size_t length = 0;
            for (std::size_t byte = 0; byte < 4; ++byte) {
                length = length << 8U | static_cast<unsigned char>(body[at + byte]);
            }
            records.push_back(body.substr(at + 4, length));
            at += 4 + length;
        }
        const Appended done = append(topic, records);
        return answerText(
            200, "application/json", {}, Json { { "offset", done.offset }, { "end_offset", done.end } }.dump());
    }

    std::string readAnswer(std::map<std::string, std::string>& query)
    {
        const std::uint64_t from = std::stoull(query["from"]);
        const auto wait = Milliseconds(query.contains("wait_ms") ? std::stoul(query["wait_ms"]) : 0);
        const std::size_t most = 1024 * (query.contains("max_size") ? std::stoul(query["max_size"]) : 1024);
        std::unique_lock lock(mutex_);
        Topic& topic = topics_[query["topic"]];
        const auto until = Clock::now() + wait;
        while (from >= topic.end() && appended_.wait_until(lock, until) != std::cv_status::timeout) { }
        expire(topic);
        if (from < topic.first) {
            return answerText(410, "application/json", {}, Json { { "first_offset", topic.first } }.dump());
        }
        std::string body = bigEndian(topic.end(), 8) + bigEndian(topic.first, 8);
        for (std::uint64_t offset = from; offset < topic.end() && (offset == from || body.size() < most); ++offset) {
            const std::string& record = topic.entries[offset - topic.first].record;
            body += bigEndian(record.size(), 4) + record;
        }
        return answerText(200, "application/octet-stream", {}, body);
    }

    std::string newestAnswer(std::map<std::string, std::string>& query)
    {
        const std::lock_guard lock(mutex_);
        const Topic& topic = topics_[query["topic"]];
        Json entries = Json::array();
        auto entry = topic.newest.upper_bound(query["after"]);
        for (; entry != topic.newest.end() && entries.size() < 500; ++entry) {
            entries.push_back({ { "key", entry->first }, { "value", base64(entry->second.value) },
                { "offset", entry->second.offset } });
        }
        return answerText(200, "application/json", {},
            Json { { "entries", entries }, { "has_more", entry != topic.newest.end() }, { "end_offset", topic.end() } }
                .dump());
    }

    double keepSeconds_;
    std::mutex mutex_;
    std::condition_variable appended_;
    std::map<std::string, Topic> topics_;
    Listener listener_;
};

/** A run at an engine. */
struct Run {
    std::string id;
    std::string target;
    std::string body;
    double at = 0;
};

/** An engine: plain answers, or streams of events for requests with Token-Usage. Writes its entry to the store. */
class Engine {
public:
    Engine(std::string id, std::string service, std::string zone, const std::string& ip, Store& store, Record& record)
        : id_(std::move(id))
        , service_(std::move(service))
        , zone_(std::move(zone))
        , store_(store)
        , record_(record)
        , listener_({ ip, 0 }, [this](Connection& connection) { serve(connection); })
    {
        std::thread([this] { beat(); }).detach();
    }

    [[nodiscard]] const std::string& id() const { return id_; }
    [[nodiscard]] std::vector<Run> runs()
    {
        const std::lock_guard lock(mutex_);
        return runs_;
    }
    /** The entry is removed, `draining` was never reported. @return When the store accepted that. */
    double removeEntry()
    {
        const std::lock_guard lock(beatMutex_);
        beating_ = false;
        const double at = store_.put("keyed.servers", id_, "");
        record_.write("store: entry of " + id_ + " removed");
        return at;
    }
    /** Ends all service: connections are closed at their next request, and new ones at once. */
    void leave() { left_ = true; }

private:
    void beat()
    {
        // Engines don't write their entries at the same moment.
        std::this_thread::sleep_for(Milliseconds(std::hash<std::string> {}(id_) % 300));
        for (std::uint64_t sequence = 1;; ++sequence) {
            {
                const std::lock_guard lock(beatMutex_);
                if (!beating_) {
                    return;
                }
                store_.put("keyed.servers", id_,
                    Json { { "backend", service_ }, { "address", listener_.address().text() }, { "zone", zone_ },
                        { "version", "v1" }, { "slots", 32 }, { "state", "ready" }, { "warmup_left_ms", 0 },
                        { "sequence", sequence } }
                        .dump());
            }
            std::this_thread::sleep_for(Milliseconds(1100 + std::hash<std::string> {}(id_ + std::to_string(sequence)) % 200));
        }
    }

    void serve(Connection& connection)
    {
        Message request;
        while (connection.read(request, Clock::now() + std::chrono::minutes(5)) && !left_) {
            const double at = now();
            const std::string id = request.header("request-id");
            const std::string target = request.word(1);
            if (const std::string expected = request.header("expect-instance"); !expected.empty() && expected != id_) {
                connection.write(answerText(421, "text/plain", { { "Request-Id", id } }, ""));
                continue;
            }
            {
                const std::lock_guard lock(mutex_);
                runs_.push_back({ id, target, request.body, at });
            }
            record_.write("engine " + id_ + " runs " + id + " " + request.word(0) + " " + target + ", body of "
                + std::to_string(request.body.size()) + " bytes");
            const Headers headers { { "Request-Id", id }, { "Server-Stamp", "3e1b." + id + "." + id_ } };
            if (request.header("token-usage").empty()) {
                std::this_thread::sleep_for(Milliseconds(15));
                connection.write(answerText(200, "text/plain", headers, "answer to " + id + " by " + id_));
            } else if (!stream(connection, headers, id)) {
                return;
            }
        }
    }

    static bool stream(Connection& connection, const Headers& headers, const std::string& id)
    {
        std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
        for (const auto& [name, value] : headers) {
            head += name + ": " + value + "\r\n";
        }
        bool open = connection.write(head + "\r\n");
        for (int event = 1; event <= 10 && open; ++event) {
            const std::string text = "id: " + std::to_string(event) + "\ndata: piece of " + id + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", text.size());
            open = connection.write(size + text + "\r\n");
            std::this_thread::sleep_for(Milliseconds(25));
        }
        return open && connection.write("0\r\n\r\n");
    }

    std::string id_;
    std::string service_;
    std::string zone_;
    Store& store_;
    Record& record_;
    std::mutex mutex_;
    std::mutex beatMutex_;
    std::vector<Run> runs_;
    bool beating_ = true;
    std::atomic<bool> left_ = false;
    Listener listener_;
};

/** Fills in a template as DEPLOY.md tells: values `{{a.b}}`, sections `{{#a}}..{{/a}}` and `{{^a}}..{{/a}}`. */
class Template {
public:
    static std::string fill(const std::string& text, const Json& root) { return fill(text, root, root); }

private:
    static const Json* lookUp(const std::string& name, const Json& entry, const Json& root)
    {
        if (name == ".") {
            return &entry;
        }
        for (const Json* from : { &entry, &root }) {
            const Json* found = from;
            std::stringstream parts(name);
            for (std::string part; found != nullptr && std::getline(parts, part, '.');) {
                if (found->is_object() && found->contains(part)) {
                    found = &(*found)[part];
                } else if (found->is_array() && std::isdigit(part[0]) && std::stoul(part) < found->size()) {
                    found = &(*found)[std::stoul(part)];
                } else {
                    found = nullptr;
                }
            }
            if (found != nullptr && !found->is_null()) {
                return found;
            }
        }
        return nullptr;
    }
    static std::string valueText(const Json* value)
    {
        if (value == nullptr) {
            return {};
        }
        return value->is_string() ? value->get<std::string>() : value->dump();
    }
    static std::string fill(const std::string& text, const Json& entry, const Json& root)
    {
        std::string result;
        std::size_t at = 0;
        for (std::size_t open = 0; (open = text.find("{{", at)) != std::string::npos;) {
            result += text.substr(at, open - at);
            const auto close = text.find("}}", open);
            const std::string name = text.substr(open + 2, close - open - 2);
            at = close + 2;
            if (name[0] != '#' && name[0] != '^') {
                result += valueText(lookUp(name, entry, root));
                continue;
            }
            const std::string endMark = "{{/" + name.substr(1) + "}}";
            const auto end = text.find(endMark, at);
            const std::string inner = text.substr(at, end - at);
            at = end + endMark.size();
            const Json* value = lookUp(name.substr(1), entry, root);
            const bool present = value != nullptr && *value != false && !(value->is_array() && value->empty());
            if (name[0] == '^') {
                result += present ? "" : fill(inner, entry, root);
            } else if (present && value->is_array()) {
                for (const Json& element : *value) {
                    result += fill(inner, element, root);
                }
            } else if (present) {
                result += fill(inner, *value, root);
            }
        }
        return result + text.substr(at);
    }
};

} // namespace fleetcase
