#include "platform/standin/StoreService.h"

#include <algorithm>
#include <chrono>

#include "common/Text.h"

namespace swiftlift::platform::standin {

using standins::Awaitable;
using standins::Exchange;
using standins::Json;

namespace {

    constexpr std::size_t lengthBytes = 4;
    constexpr std::size_t offsetBytes = 8;
    constexpr unsigned bitsPerByte = 8;
    constexpr std::uint64_t maxWaitMs = 30'000;
    /** Maximum number of keys in one answer of `/-/log-newest`. */
    constexpr std::size_t maxEntries = 500;
    /** Size of an answer of `/-/log-newest` beyond which it gets no further key. */
    constexpr std::size_t maxNewestBytes = 1'000'000;
    constexpr std::size_t bytesPerKilobyte = 1024;
    constexpr std::uint64_t defaultReadKilobytes = 1024;
    constexpr unsigned lastAscii = 0x7F;

    std::string bigEndian(std::uint64_t number, std::size_t bytes)
    {
        std::string text(bytes, '\0');
        for (std::size_t position = bytes; position > 0; --position) {
            text[position - 1] = static_cast<char>(number & 0xFFU);
            number >>= bitsPerByte;
        }
        return text;
    }

    std::optional<std::deque<std::string>> splitRecords(const std::string& body)
    {
        std::deque<std::string> records;
        std::size_t position = 0;
        while (position < body.size()) {
            if (body.size() - position < lengthBytes) {
                return std::nullopt;
            }
            std::size_t length = 0;
            for (std::size_t byte = 0; byte < lengthBytes; ++byte) {
                length = (length << bitsPerByte) | static_cast<unsigned char>(body[position + byte]);
            }
            position += lengthBytes;
            if (body.size() - position < length) {
                return std::nullopt;
            }
            records.push_back(body.substr(position, length));
            position += length;
        }
        return records;
    }

    Json appendedReply(std::uint64_t offset, const Topic& topic)
    {
        return { { "offset", offset }, { "end_offset", topic.end() } };
    }

    Json goneReply(const Topic& topic) { return { { "first_offset", topic.first() } }; }

    /** @return The key as a JSON string; what isn't text is written in this form. */
    std::string keyText(const std::string& key, OddKeys form)
    {
        const std::string replaced = Json(key).dump(-1, ' ', false, Json::error_handler_t::replace);
        if (form == OddKeys::Replaced || Json::accept('"' + key + '"')) {
            return replaced;
        }
        constexpr std::string_view digits = "0123456789abcdef";
        std::string text(1, '"');
        for (const char character : key) {
            const auto byte = static_cast<unsigned char>(character);
            if (byte <= lastAscii) {
                const std::string quoted = Json(std::string(1, character)).dump();
                text += quoted.substr(1, quoted.size() - 2);
            } else if (form == OddKeys::Raw) {
                text += character;
            } else {
                text.append("\\udc").append(1, digits[byte >> 4U]).append(1, digits[byte & 0xFU]);
            }
        }
        return text + '"';
    }

    std::string newestReply(const Topic& topic, const std::string& after, OddKeys form)
    {
        std::string entries;
        std::size_t count = 0;
        auto entry = topic.newest().upper_bound(after);
        for (; entry != topic.newest().end() && count < maxEntries && entries.size() < maxNewestBytes; ++entry) {
            entries += count++ == 0 ? "" : ",";
            entries += R"({"key":)" + keyText(entry->first, form) + R"(,"value":")"
                + standins::toBase64(entry->second.value) + R"(","offset":)" + std::to_string(entry->second.offset)
                + '}';
        }
        const bool more = entry != topic.newest().end();
        return R"({"entries":[)" + entries + R"(],"has_more":)" + (more ? "true" : "false") + R"(,"end_offset":)"
            + std::to_string(topic.end()) + '}';
    }

} // namespace

std::uint64_t Topic::append(std::deque<std::string> records)
{
    const std::uint64_t offset = end();
    for (std::string& record : records) {
        if (keyed_) {
            index(end(), record);
        }
        records_.push_back(std::move(record));
    }
    appended_.notify();
    return offset;
}

void Topic::index(std::uint64_t offset, const std::string& record)
{
    const auto length = static_cast<std::size_t>(static_cast<unsigned char>(record.at(0)));
    const std::string key = record.substr(1, length);
    if (record.size() == 1 + length) {
        newest_.erase(key);
    } else {
        newest_[key] = Newest { offset, record.substr(1 + length) };
    }
}

void Topic::keepNewest(std::uint64_t count)
{
    while (records_.size() > count) {
        records_.pop_front();
        ++first_;
    }
}

StoreService::StoreService()
{
    gate_.addControls(controls());
    controls().addValue("turn_away", turnAway_);
    controls().add("odd_keys", [this](const Json& value, Json&) {
        const auto form = value.get<std::string>();
        oddKeys_ = form == "raw" ? OddKeys::Raw : form == "escaped" ? OddKeys::Escaped : OddKeys::Replaced;
    });
    controls().add("keep", [this](const Json& value, Json&) {
        for (auto& [name, topic] : topics_) {
            topic.keepNewest(value.get<std::uint64_t>());
        }
    });
    controls().add("put", [this](const Json& value, Json&) {
        const auto key = value.at("key").get<std::string>();
        const std::string record = bigEndian(key.size(), 1) + key + value.value("value", "");
        topicNamed(value.at("topic").get<std::string>()).append({ record });
    });
}

Topic& StoreService::topicNamed(const std::string& name)
{
    return topics_.try_emplace(name, name.starts_with("keyed.")).first->second;
}

Awaitable<void> StoreService::serve(Exchange& exchange)
{
    const bool entered = co_await gate_.enter(exchange);
    if (!entered) {
        co_return;
    }
    if (turnAway_ != 0) {
        co_await exchange.answerError(turnAway_, "turned away");
    } else if (exchange.path() == "/-/log-append" && exchange.isPost()) {
        co_await append(exchange);
    } else if (exchange.path() == "/-/log-read") {
        co_await read(exchange);
    } else if (exchange.path() == "/-/log-newest") {
        co_await newest(exchange);
    }
}

Awaitable<void> StoreService::append(Exchange& exchange)
{
    ++appends_;
    auto records = splitRecords(exchange.body());
    if (!records) {
        co_await exchange.answerError(400, "not a sequence of records");
        co_return;
    }
    Topic& topic = topicNamed(exchange.parameter("topic"));
    const auto offset = topic.append(std::move(*records));
    const bool canAnswer = co_await gate_.leave(exchange);
    if (canAnswer) {
        co_await exchange.answerJson(200, appendedReply(offset, topic));
    }
}

Awaitable<void> StoreService::read(Exchange& exchange)
{
    ++reads_;
    Topic& topic = topicNamed(exchange.parameter("topic"));
    const auto from = exchange.number("from", 0);
    const auto wait = std::min(exchange.number("wait_ms", 0), maxWaitMs);
    const auto deadline = standins::Clock::now() + std::chrono::milliseconds(wait);
    while (from >= topic.end() && standins::Clock::now() < deadline && !exchange.isClosed()) {
        co_await exchange.wait(topic.appended(), deadline);
    }
    const bool canAnswer = co_await gate_.leave(exchange);
    if (!canAnswer) {
        co_return;
    }
    if (from < topic.first()) {
        co_await exchange.answerJson(410, goneReply(topic));
        co_return;
    }
    std::string body = bigEndian(topic.end(), offsetBytes) + bigEndian(topic.first(), offsetBytes);
    const std::size_t maxBytes = exchange.number("max_size", defaultReadKilobytes) * bytesPerKilobyte;
    for (auto offset = from; offset < topic.end() && (offset == from || body.size() < maxBytes); ++offset) {
        body += bigEndian(topic.record(offset).size(), lengthBytes) + topic.record(offset);
    }
    co_await exchange.answer(200, "application/octet-stream", std::move(body));
}

Awaitable<void> StoreService::newest(Exchange& exchange)
{
    ++reads_;
    Topic& topic = topicNamed(exchange.parameter("topic"));
    co_await exchange.answer(200, "application/json", newestReply(topic, exchange.parameter("after"), oddKeys_));
}

Json StoreService::audit(const Exchange&) const
{
    Json topics = Json::object();
    for (const auto& [name, topic] : topics_) {
        Json keys = Json::object();
        for (const auto& [key, newest] : topic.newest()) {
            keys[key] = newest.offset;
        }
        topics[name] = { { "first", topic.first() }, { "end", topic.end() }, { "keys", std::move(keys) } };
    }
    return { { "topics", std::move(topics) }, { "appends", appends_ }, { "reads", reads_ } };
}

} // namespace swiftlift::platform::standin
