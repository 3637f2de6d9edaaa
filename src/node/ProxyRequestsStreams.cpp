#include <algorithm>

#include "node/ProxyRequests.h"

namespace swiftlift::node {

void ProxyRequests::findStreamVersion(ProxyRequest& request)
{
    const ServiceName& service = request.service->name;
    // A stream that was taken up before is older than one attempt.
    const Duration maxAge = std::max(streams::streamLifetime, request.route->timeLimit + serverListLag);
    enterPhase(request, ProxyPhase::WaitingForVersion);
    streamVersions_.search(request.id, service, request.info.resumes, maxAge);
}

void ProxyRequests::onStreamVersion(CallId call, const FoundVersion& found)
{
    const auto& version = found.version;
    ProxyRequest* request = find(call);
    if (request == nullptr) {
        return;
    }
    context_.log(LogLineBuilder("stream_version")
                     .with("request", request->info.id)
                     .with("stream", request->info.resumes.value())
                     .with("service", request->service->name.value())
                     .with("known", version.has_value())
                     .with("source", toText(found.source))
                     .with("version", version.value_or(SoftwareVersion {}).value())
                     .with("peers_asked", static_cast<std::int64_t>(found.asked))
                     .with("peers_answered", static_cast<std::int64_t>(found.answered))
                     .with("list_age_ms", toMilliseconds(fleet_.serversAge()))
                     .with("log_reachable", fleet_.logReachable())
                     .with("waited_ms", toMilliseconds(context_.now() - request->phaseStart)));
    if (!version) {
        refuse(
            *request, { 503, "stream_unknown", "no router knows at which version the stream began", streamRetryAfter });
        return;
    }
    if (!fleet_.versions().isRegistered(request->service->name, *version)) {
        refuse(*request,
            { 503, "version_gone", "no backend server of version " + version->value() + " is registered",
                streamRetryAfter });
        return;
    }
    request->streamVersion = version;
    request->streamRemembered = found.source == VersionSource::Remembered || found.source == VersionSource::Keeper;
    enterPhase(*request, ProxyPhase::WaitingForTokens);
    reserveTokens(*request);
}

void ProxyRequests::noteStreamBegan(ProxyRequest& request)
{
    if (!request.streamVersion) {
        request.streamVersion = request.backendVersion;
    }
    if (!request.route->resumable) {
        return;
    }
    streamVersions_.onBegan(StreamId(request.info.id), *request.streamVersion);
    // The router at which it began may be gone when the stream is taken up once more. What was inferred is no memory.
    if (request.streamRemembered && !request.info.resumes.value().empty()) {
        streamVersions_.onBegan(request.info.resumes, *request.streamVersion);
    }
}

void ProxyRequests::noteStreamComplete(const ProxyRequest& request)
{
    if (request.events > 0 && request.route->resumable) {
        streamVersions_.onComplete(StreamId(request.info.id));
        streamVersions_.onComplete(request.info.resumes);
    }
}

} // namespace swiftlift::node
