// A request's body has a transfer coding that isn't `chunked`, and holds the text of another request.
#include "World.h"

using namespace review;

namespace {

constexpr int requests = 20;

std::string headOf(const std::string& method, const std::string& path, const std::string& id)
{
    return method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id
        + "\r\nDeadline-Ms: 3000\r\nCredential: key-one\r\n";
}

std::string hexadecimal(std::size_t number)
{
    char text[32];
    std::snprintf(text, sizeof text, "%zx", number);
    return text;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 4) {
        return 2;
    }
    Record record(argv[3]);
    const bool trouble = troubleWanted();
    Store store;
    std::vector<std::unique_ptr<Engine>> engines;
    for (int index = 0; index < 2; ++index) {
        const std::string id = "i-" + std::to_string(index);
        engines.push_back(std::make_unique<Engine>(store, record, id, "desk-app", index == 0 ? "regina-a" : "regina-b",
            [id](Stream& stream, const Message& request) { return answerPlain(stream, request, id); }));
    }
    store.put("keyed.op", "config",
        configOf(1, { { "order-status", "unsafe", "desk-app" }, { "proof-preview", "safe", "desk-app" } }, 1'000'000).dump());
    const std::uint16_t peer = freePort();
    Router router(argv[1], argv[2], "router", "regina-a", store.port(), peer, { peer });
    router.start();
    if (!router.waitReady()) {
        finish(record, 2, "the router did not become ready");
    }

    // Without the trouble, the same body is sent in chunks.
    std::set<std::string> sent;
    for (int number = 0; number < requests; ++number) {
        const std::string id = "sent-" + std::to_string(number);
        const std::string body = headOf("POST", "/order-status/hidden", "hidden-" + std::to_string(number)) + "Content-Length: 0\r\n\r\n";
        const auto stream = Stream::connect(router.callers());
        const std::string coding = trouble ? "gzip" : "chunked";
        const std::string coded = trouble ? body : hexadecimal(body.size()) + "\r\n" + body + "\r\n0\r\n\r\n";
        record.line("client sends " + id + " with Transfer-Encoding: " + coding + " and a body of " + std::to_string(body.size())
            + " bytes");
        sent.insert(id);
        if (!stream || !stream->send(headOf("POST", "/order-status/x", id) + "Transfer-Encoding: " + coding + "\r\n\r\n" + coded)) {
            finish(record, 2, "the router does not accept connections");
        }
        while (const auto answer = readMessage(*stream, 1s, true)) {
            record.line("client gets " + answer->start + "  Request-Id " + answer->field("Request-Id") + "  " + answer->body);
        }
        record.line("connection " + std::string(stream->ended() ? "ended" : "stays open"));
    }
    int smuggled = 0;
    int changed = 0;
    int runs = 0;
    for (const auto& engine : engines) {
        for (const Message& run : engine->runs()) {
            ++runs;
            smuggled += sent.contains(run.field("Request-Id")) ? 0 : 1;
            changed += sent.contains(run.field("Request-Id")) && run.body.find("hidden-") == std::string::npos ? 1 : 0;
        }
    }
    if (runs == 0 && !trouble) {
        finish(record, 2, "no request ran");
    }
    const std::string text = std::to_string(requests) + " requests sent, " + std::to_string(runs) + " runs: "
        + std::to_string(smuggled) + " of requests that were smuggled in a body, " + std::to_string(changed)
        + " of requests whose body was not the client's";
    finish(record, smuggled + changed > 0 ? 1 : 0, text);
}
