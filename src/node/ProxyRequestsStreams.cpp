#include "node/ProxyRequests.h"

namespace swiftlift::node {

void ProxyRequests::findStreamVersion(ProxyRequest& request)
{
    const ServiceName& service = request.service->name;
    const Duration maxAge = request.route->timeLimit + serverListLag;
    if (request.info.resumes.value().empty()) {
        // Without the id of the first attempt, only a service of one version shows at which the stream began.
        if (streamVersions_.hasSeveral(service, maxAge)) {
            onStreamVersion(request.id, std::nullopt);
        } else {
            reserveTokens(request);
        }
        return;
    }
    enterPhase(request, ProxyPhase::WaitingForVersion);
    const VersionSearch search = streamVersions_.search(request.id, service, request.info.resumes, maxAge);
    if (!search.pending) {
        onStreamVersion(request.id, search.version);
    }
}

void ProxyRequests::onStreamVersion(CallId call, const std::optional<SoftwareVersion>& version)
{
    ProxyRequest* request = find(call);
    if (request == nullptr) {
        return;
    }
    context_.log(LogLineBuilder("stream_version")
                     .with("request", request->info.id)
                     .with("stream", request->info.resumes.value())
                     .with("service", request->service->name.value())
                     .with("known", version.has_value())
                     .with("version", version.value_or(SoftwareVersion {}).value())
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
    enterPhase(*request, ProxyPhase::WaitingForTokens);
    reserveTokens(*request);
}

void ProxyRequests::noteStreamBegan(ProxyRequest& request)
{
    if (request.streamVersion) {
        return;
    }
    request.streamVersion = request.backendVersion;
    if (request.route->resumable) {
        streamVersions_.onBegan(StreamId(request.info.id), request.backendVersion);
    }
}

} // namespace swiftlift::node
