// Small stand-ins of the platform's store and of backend servers, a raw client and process handling, for the review's
// scripts. Everything listens on loopback addresses.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

#include <nlohmann/json.hpp>

namespace review {

using nlohmann::json;
using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

/**
 * The loopback address of this process's listeners. Outgoing connections have 127.0.0.1 as theirs: on a shared address
 * one of them may take a port that was chosen for a router that hasn't started yet.
 */
inline const std::string loopback = [] {
    const auto process = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(32 + process / 250 % 128) + "." + std::to_string(process % 250) + ".1";
}();

inline std::int64_t sinceStartMs()
{
    static const auto start = Clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - start).count();
}

/** What was sent, answered and run, in order. */
class Record {
public:
    explicit Record(const std::string& path)
        : file_(path)
    {
    }

    void line(const std::string& text)
    {
        const std::lock_guard lock(mutex_);
        file_ << sinceStartMs() << " ms  " << text << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
};

inline int listenOn(std::uint16_t& port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, loopback.c_str(), &address.sin_addr);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || ::listen(fd, 256) != 0) {
        ::close(fd);
        return -1;
    }
    socklen_t size = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
    return fd;
}

/** @return A port that is free at the moment; none is returned twice. */
inline std::uint16_t freePort()
{
    static std::set<std::uint16_t> used;
    for (;;) {
        std::uint16_t port = 0;
        const int fd = listenOn(port);
        ::close(fd);
        if (used.insert(port).second) {
            return port;
        }
    }
}

inline std::string at(std::uint16_t port) { return loopback + ":" + std::to_string(port); }

/** A connected socket with buffered reads. */
class Stream {
public:
    explicit Stream(int fd)
        : fd_(fd)
    {
        const int one = 1;
        ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    }
    ~Stream() { close(); }
    Stream(const Stream&) = delete;
    Stream& operator=(const Stream&) = delete;

    static std::shared_ptr<Stream> connect(std::uint16_t port)
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        ::inet_pton(AF_INET, loopback.c_str(), &address.sin_addr);
        if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
            ::close(fd);
            return nullptr;
        }
        return std::make_shared<Stream>(fd);
    }

    bool send(const std::string& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto count = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    /** Reads what there is, waiting this long at most. @return false: the connection has ended or nothing came. */
    bool fill(std::chrono::milliseconds wait)
    {
        pollfd item { fd_, POLLIN, 0 };
        if (fd_ < 0 || ::poll(&item, 1, static_cast<int>(wait.count())) <= 0) {
            return false;
        }
        char bytes[16384];
        const auto count = ::recv(fd_, bytes, sizeof bytes, 0);
        if (count <= 0) {
            ended_ = true;
            reset_ = count < 0;
            return false;
        }
        buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    bool ended() const { return ended_; }
    bool wasReset() const { return reset_; }

    void shutdownSend() { ::shutdown(fd_, SHUT_WR); }

    void reset()
    {
        const linger option { 1, 0 };
        ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &option, sizeof option);
        close();
    }

    void close()
    {
        if (fd_ >= 0) {
            ::close(fd_);
            fd_ = -1;
        }
    }

    int fd() const { return fd_; }
    std::string buffer;

private:
    int fd_;
    bool ended_ = false;
    bool reset_ = false;
};

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

/** A message as it was read from a connection, with the body's framing removed. */
struct Message {
    std::string start;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    /** The body came to its end. */
    bool whole = false;
    /** The end of the body is the end of the connection. */
    bool unframed = false;

    std::string field(const std::string& name) const
    {
        for (const auto& [key, value] : fields) {
            if (lower(key) == lower(name)) {
                return value;
            }
        }
        return {};
    }
    bool has(const std::string& name) const
    {
        return std::any_of(fields.begin(), fields.end(), [&](const auto& f) { return lower(f.first) == lower(name); });
    }
    std::string method() const { return start.substr(0, start.find(' ')); }
    std::string target() const
    {
        const auto from = start.find(' ') + 1;
        return start.substr(from, start.find(' ', from) - from);
    }
    int status() const { return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0; }
};

/** Reads one message. @return nullopt: the connection ended, or the time was over, before a whole head. */
inline std::optional<Message> readMessage(Stream& stream, std::chrono::milliseconds wait, bool answer = false)
{
    const auto until = Clock::now() + wait;
    const auto more = [&] {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now());
        return left.count() > 0 && stream.fill(left);
    };
    std::size_t end = 0;
    while ((end = stream.buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!more()) {
            return std::nullopt;
        }
    }
    Message message;
    std::string head = stream.buffer.substr(0, end);
    stream.buffer.erase(0, end + 4);
    std::size_t from = head.find("\r\n");
    message.start = head.substr(0, from);
    while (from != std::string::npos) {
        const auto to = head.find("\r\n", from + 2);
        const std::string line = head.substr(from + 2, to == std::string::npos ? to : to - from - 2);
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' ') == std::string::npos ? value.size() : value.find_first_not_of(' '));
            message.fields.emplace_back(line.substr(0, colon), value);
        }
        from = to;
    }
    if (lower(message.field("Transfer-Encoding")) == "chunked") {
        for (;;) {
            std::size_t line = 0;
            while ((line = stream.buffer.find("\r\n")) == std::string::npos) {
                if (!more()) {
                    return message;
                }
            }
            const auto size = std::strtoul(stream.buffer.c_str(), nullptr, 16);
            while (stream.buffer.size() < line + 2 + size + 2) {
                if (!more()) {
                    message.body += stream.buffer.substr(std::min(line + 2, stream.buffer.size()));
                    return message;
                }
            }
            message.body += stream.buffer.substr(line + 2, size);
            stream.buffer.erase(0, line + 2 + size + 2);
            if (size == 0) {
                message.whole = true;
                return message;
            }
        }
    }
    if (message.has("Content-Length") || !answer) {
        const auto size = std::strtoul(message.field("Content-Length").c_str(), nullptr, 10);
        while (stream.buffer.size() < size) {
            if (!more()) {
                message.body = stream.buffer;
                return message;
            }
        }
        message.body = stream.buffer.substr(0, size);
        stream.buffer.erase(0, size);
        message.whole = true;
        return message;
    }
    message.unframed = true;
    while (more()) {
    }
    message.body = std::exchange(stream.buffer, {});
    message.whole = stream.ended() && !stream.wasReset();
    return message;
}

/** Accepts connections and serves each on a thread of its own. */
class Server {
public:
    using Handler = std::function<void(std::shared_ptr<Stream>)>;
    explicit Server(Handler handler, std::uint16_t port = 0)
        : handler_(std::move(handler))
        , port_(port)
        , fd_(listenOn(port_))
    {
        std::thread([fd = fd_, handler = handler_] {
            for (;;) {
                const int accepted = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0) {
                    return;
                }
                std::thread([handler, stream = std::make_shared<Stream>(accepted)] { handler(stream); }).detach();
            }
        }).detach();
    }
    std::uint16_t port() const { return port_; }

private:
    Handler handler_;
    std::uint16_t port_;
    int fd_;
};

/** Forwards connections to a server; while it is cut, nothing passes either way, and nothing is closed. */
class Proxy {
public:
    explicit Proxy(std::uint16_t to)
        : server_([this, to](std::shared_ptr<Stream> near) {
            const auto far = Stream::connect(to);
            if (!far) {
                return;
            }
            const int generation = cuts_;
            pollfd items[2] { { near->fd(), POLLIN, 0 }, { far->fd(), POLLIN, 0 } };
            for (;;) {
                ::poll(items, 2, 20);
                if (cut_) {
                    std::this_thread::sleep_for(10ms);
                    continue;
                }
                // Connections from before or during the cut are of no more use.
                if (generation != cuts_) {
                    near->reset();
                    return;
                }
                if (!pass(*near, *far, items[0].revents) || !pass(*far, *near, items[1].revents)) {
                    return;
                }
            }
        })
    {
    }

    std::uint16_t port() const { return server_.port(); }
    void cut()
    {
        ++cuts_;
        cut_ = true;
    }
    void heal()
    {
        ++cuts_;
        cut_ = false;
    }

private:
    static bool pass(Stream& from, Stream& to, short ready)
    {
        if ((ready & (POLLIN | POLLHUP | POLLERR)) == 0) {
            return true;
        }
        return from.fill(0ms) && to.send(std::exchange(from.buffer, {}));
    }

    std::atomic<bool> cut_ = false;
    std::atomic<int> cuts_ = 0;
    Server server_;
};

inline std::string reply(int status, const std::string& reason, const std::string& body,
    const std::vector<std::pair<std::string, std::string>>& fields = {})
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n";
    for (const auto& [name, value] : fields) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string big(std::uint64_t number, int bytes)
{
    std::string text;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
        text += static_cast<char>(number >> shift & 0xFF);
    }
    return text;
}

inline std::string base64(const std::string& bytes)
{
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            group = group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
        }
        for (int j = 0; j < 4; ++j) {
            text += i + static_cast<std::size_t>(j) <= bytes.size() && !(j == 3 && i + 2 >= bytes.size())
                    && !(j == 2 && i + 1 >= bytes.size())
                ? digits[group >> (18 - 6 * j) & 63]
                : '=';
        }
    }
    return text;
}

/** The platform's store: logs with one partition each, long polls, keyed topics. */
class Store {
public:
    /** @param keep Time after which records expire; the newest record of each key of a keyed topic stays. */
    explicit Store(std::chrono::seconds keep = 300s)
        : keep_(keep)
        , server_([this](std::shared_ptr<Stream> stream) { serve(*stream); })
    {
    }

    std::uint16_t port() const { return server_.port(); }

    void put(const std::string& topic, const std::string& key, const std::string& value)
    {
        append(topic, { big(key.size(), 1) + key + value });
    }

private:
    struct Topic {
        std::vector<std::string> records;
        std::vector<Clock::time_point> times;
        /** Offset of the first record that has not expired. */
        std::uint64_t first = 0;
        std::map<std::string, std::pair<std::uint64_t, std::string>> newest;
    };

    void expire(Topic& topic) const
    {
        while (topic.first < topic.records.size() && Clock::now() - topic.times[topic.first] > keep_) {
            topic.records[topic.first++].clear();
        }
    }

    std::uint64_t append(const std::string& name, std::vector<std::string> records)
    {
        const std::lock_guard lock(mutex_);
        Topic& topic = topics_[name];
        const auto first = topic.records.size();
        for (std::string& record : records) {
            if (name.starts_with("keyed.") && !record.empty()) {
                const auto size = static_cast<std::size_t>(static_cast<unsigned char>(record[0]));
                const std::string key = record.substr(1, size);
                if (record.size() > 1 + size) {
                    topic.newest[key] = { topic.records.size(), record.substr(1 + size) };
                } else {
                    topic.newest.erase(key);
                }
            }
            topic.records.push_back(std::move(record));
            topic.times.push_back(Clock::now());
        }
        changed_.notify_all();
        return first;
    }

    static std::string parameter(const std::string& target, const std::string& name)
    {
        const auto from = target.find_first_of("?&" + std::string());
        for (auto place = from; place != std::string::npos; place = target.find('&', place + 1)) {
            if (target.compare(place + 1, name.size() + 1, name + "=") == 0) {
                const auto begin = place + 2 + name.size();
                return target.substr(begin, target.find('&', begin) - begin);
            }
        }
        return {};
    }

    std::string answer(const Message& call)
    {
        const std::string target = call.target();
        const std::string topic = parameter(target, "topic");
        if (target.starts_with("/-/log-append")) {
            std::vector<std::string> records;
            for (std::size_t place = 0; place + 4 <= call.body.size();) {
                std::size_t size = 0;
                for (int i = 0; i < 4; ++i) {
                    size = size << 8 | static_cast<unsigned char>(call.body[place + static_cast<std::size_t>(i)]);
                }
                records.push_back(call.body.substr(place + 4, size));
                place += 4 + size;
            }
            const auto count = records.size();
            const auto first = append(topic, std::move(records));
            return reply(200, "OK", json({ { "offset", first }, { "end_offset", first + count } }).dump(),
                { { "Content-Type", "application/json" } });
        }
        std::unique_lock lock(mutex_);
        if (target.starts_with("/-/log-read")) {
            const auto from = std::strtoull(parameter(target, "from").c_str(), nullptr, 10);
            const auto wait = std::chrono::milliseconds(std::atoi(parameter(target, "wait_ms").c_str()));
            changed_.wait_for(lock, wait, [&] { return topics_[topic].records.size() > from; });
            expire(topics_[topic]);
            const auto first = topics_[topic].first;
            if (from < first) {
                return reply(410, "Gone", json({ { "first_offset", first } }).dump(), { { "Content-Type", "application/json" } });
            }
            const auto& records = topics_[topic].records;
            std::string body = big(records.size(), 8) + big(first, 8);
            for (auto offset = from; offset < records.size(); ++offset) {
                body += big(records[offset].size(), 4) + records[offset];
            }
            return reply(200, "OK", body, { { "Content-Type", "application/octet-stream" } });
        }
        if (target.starts_with("/-/log-newest")) {
            json entries = json::array();
            for (const auto& [key, entry] : topics_[topic].newest) {
                entries.push_back({ { "key", key }, { "value", base64(entry.second) }, { "offset", entry.first } });
            }
            return reply(200, "OK",
                json({ { "entries", entries }, { "has_more", false }, { "end_offset", topics_[topic].records.size() } })
                    .dump(),
                { { "Content-Type", "application/json" } });
        }
        return reply(404, "Not Found", "{}");
    }

    void serve(Stream& stream)
    {
        while (const auto call = readMessage(stream, 60s)) {
            if (!call->whole || !stream.send(answer(*call))) {
                return;
            }
        }
    }

    const std::chrono::seconds keep_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Topic> topics_;
    Server server_;
};

/** A backend server. The handler answers one request; a server that registers writes its entry every heartbeat. */
class Engine {
public:
    using Handler = std::function<bool(Stream&, const Message&)>;

    Engine(Store& store, Record& record, std::string id, std::string service, std::string zone, Handler handler)
        : store_(store)
        , id_(std::move(id))
        , service_(std::move(service))
        , zone_(std::move(zone))
        , server_([this, &record, handler = std::move(handler)](std::shared_ptr<Stream> stream) {
            while (const auto request = readMessage(*stream, 60s)) {
                if (!request->whole) {
                    return;
                }
                record.line(id_ + " gets " + request->start + "  Request-Id " + request->field("Request-Id") + ", body of "
                    + std::to_string(request->body.size()) + " bytes");
                if (request->has("Expect-Instance") && request->field("Expect-Instance") != id_) {
                    stream->send(reply(421, "Misdirected Request", "", { { "Instance-Id", id_ } }));
                    continue;
                }
                {
                    const std::lock_guard lock(mutex_);
                    runs_.push_back(*request);
                }
                if (!handler(*stream, *request)) {
                    return;
                }
            }
        })
    {
        beat();
        std::thread([this] {
            for (;;) {
                std::this_thread::sleep_for(1200ms);
                if (registered_) {
                    beat();
                }
            }
        }).detach();
    }

    std::vector<Message> runs() const
    {
        const std::lock_guard lock(mutex_);
        return runs_;
    }
    const std::string& id() const { return id_; }
    std::uint16_t port() const { return server_.port(); }
    void setState(const std::string& state)
    {
        {
            const std::lock_guard lock(mutex_);
            state_ = state;
        }
        beat();
    }

    void beat()
    {
        const std::lock_guard lock(mutex_);
        store_.put("keyed.servers", id_,
            json({ { "backend", service_ }, { "address", at(server_.port()) }, { "zone", zone_ }, { "version", "v1" },
                     { "slots", 32 }, { "state", state_ }, { "warmup_left_ms", 0 }, { "sequence", ++sequence_ } })
                .dump());
    }

private:
    Store& store_;
    std::string id_;
    std::string service_;
    std::string zone_;
    std::string state_ = "ready";
    std::uint64_t sequence_ = 0;
    std::atomic<bool> registered_ = true;
    mutable std::mutex mutex_;
    std::vector<Message> runs_;
    Server server_;
};

/** The answer of a sound server to a request of an application service. */
inline bool answerPlain(Stream& stream, const Message& request, const std::string& id)
{
    const std::string body = "answer of " + id + " to " + request.field("Request-Id") + "\n";
    return stream.send(reply(200, "OK", body,
        { { "Request-Id", request.field("Request-Id") }, { "Server-Stamp", id + ".1" }, { "Keep-Alive", "timeout=30" } }));
}

/** The answer of a sound model server: a stream of events with increasing ids. */
inline bool answerStream(Stream& stream, const Message& request, const std::string& id, int events = 5)
{
    const auto chunk = [](const std::string& text) {
        char size[32];
        std::snprintf(size, sizeof size, "%zx\r\n", text.size());
        return size + text + "\r\n";
    };
    std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: " + request.field("Request-Id") + "\r\nServer-Stamp: " + id
        + ".1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    const int from = std::atoi(request.field("Last-Event-Id").c_str());
    for (int event = from + 1; event <= events; ++event) {
        std::this_thread::sleep_for(5ms);
        head += chunk("id: " + std::to_string(event) + "\ndata: of " + request.field("Request-Id") + "\n\n");
        if (!stream.send(head)) {
            return false;
        }
        head.clear();
    }
    return stream.send(head + "0\r\n\r\n");
}

struct Route {
    std::string name;
    std::string type;
    std::string service;
    bool resumable = false;
    int attempts = 2;
    int timeoutMs = 5000;
};

inline json configOf(std::uint64_t version, const std::vector<Route>& routes, std::int64_t reserved)
{
    json list = json::array();
    std::set<std::string> services;
    std::set<std::string> models;
    for (const Route& route : routes) {
        const bool streaming = route.type == "streaming";
        services.insert(route.service);
        if (streaming) {
            models.insert(route.service);
        }
        json entry { { "name", route.name }, { "hostname", "desk.example" }, { "path_prefix", "/" + route.name + "/" },
            { "type", route.type }, { "timeout_ms", route.timeoutMs }, { "target_latency_ms", 300 }, { "priority", 1 },
            { "backend", route.service }, { "max_attempts", route.attempts }, { "public", false }, { "sticky", streaming },
            { "resumable", route.resumable } };
        if (streaming) {
            entry["gap_aim_ms"] = 300;
        }
        list.push_back(entry);
    }
    json backends = json::array();
    for (const std::string& service : services) {
        json entry { { "name", service } };
        if (models.contains(service)) {
            entry["engine"] = { { "slots", 32 }, { "stride", 7 }, { "kv_capacity", 577802 } };
        }
        backends.push_back(entry);
    }
    return { { "version", version }, { "routes", list }, { "backends", backends },
        { "limits", { { "max_header_bytes", 16384 }, { "max_body_bytes", 4194304 }, { "header_timeout_ms", 3000 },
                        { "idle_timeout_ms", 15000 } } },
        { "tenants",
            { { { "name", "club" }, { "api_keys", { "key-one" } }, { "priority", 1 }, { "reserved", reserved } } } } };
}

/** The processes that the script has started and not waited for. */
inline std::set<pid_t>& startedProcesses()
{
    static std::set<pid_t> pids;
    return pids;
}

/** A router, started with the command of the deploy file; its settings are the filled-in template of the project. */
class Router {
public:
    Router(std::string root, std::string folder, std::string name, std::string zone, std::uint16_t store,
        std::uint16_t peer, const std::vector<std::uint16_t>& seeds, int keepSeconds = 300)
        : root_(std::move(root))
        , folder_(std::move(folder))
        , name_(std::move(name))
        , callers_(freePort())
        , ready_(freePort())
    {
        // Two neighbouring free ports: the relay's is the second of the platform's range.
        std::uint16_t range = 0;
        do {
            range = freePort();
            std::uint16_t next = static_cast<std::uint16_t>(range + 1);
            const int fd = listenOn(next);
            if (fd < 0) {
                continue;
            }
            ::close(fd);
            break;
        } while (true);
        const std::uint16_t metrics = freePort();
        std::ofstream file(settings());
        file << "dialect: platform\nvm:\n  peer: " << at(peer) << "\n  domain: " << zone
             << "\n  region: sask-south\n  bandwidth: 1000\n  cores: 0.25\ncallers:\n  listen: " << at(callers_)
             << "\n  readiness: " << at(ready_) << "\nrelay:\n  listen: " << at(range)
             << "\n  port_offset: 1\noperators:\n  listen: " << at(range) << "\nmetrics:\n  listen: " << at(metrics)
             << "\nlog:\n  endpoints:\n    - " << at(store)
             << "\n  read_rate: 2000\n  append_rate: 800\npeers:\n  seeds:\n";
        for (const std::uint16_t seed : seeds) {
            file << "    - " << at(seed) << "\n";
        }
        file << "ledger:\n  policy: grants\n  low_watermark: 8s\n  high_watermark: 10s\n  stock: 50%\n  loans: demand\n"
                "  retention: "
             << keepSeconds
             << "s\n  batch_period: 500ms\nrouting:\n  policy: predicted\nretries:\n  ratio: 0.2\n"
                "  extra: 56\n  window: 10s\nloads:\n  period: 200ms\nstop:\n  limit: 8s\nlogging:\n  file: \"-\"\n"
                "  level: info\n";
    }
    ~Router() { kill(); }

    std::string settings() const { return folder_ + "/" + name_ + ".yaml"; }
    std::string log() const { return folder_ + "/" + name_ + ".log"; }
    std::uint16_t callers() const { return callers_; }
    pid_t pid() const { return pid_; }

    void start()
    {
        const std::string program = root_ + "/target/bin/swiftlift-router";
        const std::string file = settings();
        const std::string output = log();
        pid_ = ::fork();
        if (pid_ == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int fd = ::open(output.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
            ::dup2(fd, 1);
            ::dup2(fd, 2);
            ::setenv("SWIFTLIFT_BOOT", file.c_str(), 1);
            if (::chdir(root_.c_str()) != 0) {
                ::_exit(126);
            }
            ::execl(program.c_str(), program.c_str(), "--settings", file.c_str(), static_cast<char*>(nullptr));
            ::_exit(127);
        }
        startedProcesses().insert(pid_);
    }

    int readiness() const
    {
        const auto stream = Stream::connect(ready_);
        if (!stream || !stream->send("GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n")) {
            return 0;
        }
        const auto answer = readMessage(*stream, 1s, true);
        return answer ? answer->status() : 0;
    }

    bool waitReady(std::chrono::seconds limit = 30s) const
    {
        const auto until = Clock::now() + limit;
        while (Clock::now() < until) {
            if (readiness() == 200) {
                return true;
            }
            std::this_thread::sleep_for(50ms);
        }
        return false;
    }

    void signal(int number) const { ::kill(pid_, number); }

    /** @return Whether the process still runs. */
    bool runs()
    {
        if (pid_ <= 0) {
            return false;
        }
        int status = 0;
        if (::waitpid(pid_, &status, WNOHANG) == pid_) {
            startedProcesses().erase(pid_);
            pid_ = -1;
            status_ = status;
            return false;
        }
        return true;
    }
    int status() const { return status_; }

    void kill()
    {
        if (pid_ > 0) {
            ::kill(pid_, SIGKILL);
            ::waitpid(pid_, nullptr, 0);
            startedProcesses().erase(pid_);
            pid_ = -1;
        }
    }

private:
    std::string root_;
    std::string folder_;
    std::string name_;
    std::uint16_t callers_;
    std::uint16_t ready_;
    pid_t pid_ = -1;
    int status_ = 0;
};

inline bool troubleWanted()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

/** Ends a script: exit status 1: the rule was broken, 0: it held, 2: the case could not run. */
[[noreturn]] inline void finish(Record& record, int status, const std::string& text)
{
    record.line("result " + std::to_string(status) + ": " + text);
    std::cout << text << std::endl;
    std::fflush(nullptr);
    for (const pid_t pid : startedProcesses()) {
        ::kill(pid, SIGKILL);
        ::waitpid(pid, nullptr, 0);
    }
    ::_exit(status);
}

} // namespace review
