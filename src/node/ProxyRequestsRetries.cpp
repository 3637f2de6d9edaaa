#include <utility>

#include "node/ProxyRequests.h"

namespace swiftlift::node {

namespace internal {

    [[nodiscard]] const char* toText(ProxyAttemptEnd end)
    {
        switch (end) {
        case ProxyAttemptEnd::Completed:
            return "completed";
        case ProxyAttemptEnd::Unreachable:
            return "unreachable";
        case ProxyAttemptEnd::Refused:
            return "refused";
        case ProxyAttemptEnd::Misdirected:
            return "misdirected";
        case ProxyAttemptEnd::Failed:
            return "failed";
        case ProxyAttemptEnd::Broken:
            return "broken";
        }
        return "broken";
    }

} // namespace internal

void ProxyRequests::retryOrFail(ProxyRequest& request, const ProxyAttemptEnded& ended)
{
    const bool mayHaveRun = ended.end == ProxyAttemptEnd::Failed || ended.end == ProxyAttemptEnd::Broken;
    request.possibleRuns += mayHaveRun ? 1 : 0;
    if (ended.end == ProxyAttemptEnd::Unreachable) {
        refundRetry(request);
    } else {
        ++request.arrivals;
    }
    request.failureKept = request.failureKept || ended.end == ProxyAttemptEnd::Failed;
    context_.log(LogLineBuilder("attempt_failed")
                     .with("request", request.info.id)
                     .with("content", toHex(request.info.content))
                     .with("prefix", prefixText(request.info.prefix))
                     .with("backend", request.backend.value())
                     .with("connection_lost", ended.connectionLost)
                     .with("end", internal::toText(ended.end))
                     .with("status", static_cast<std::int64_t>(ended.status))
                     .with("events", static_cast<std::int64_t>(request.events))
                     .with("detail", ended.detail));
    const std::string objection = objectionToRetry(request);
    if (objection.empty()) {
        selectBackend(request);
    } else if (request.failureKept) {
        forwardFailure(request, objection);
    } else if (request.possibleRuns > 0) {
        refuse(request, { 502, "backend_lost", ended.detail + "; " + objection, std::nullopt });
    } else {
        refuse(request, { 503, "not_started", ended.detail + "; " + objection, defaultRetryAfter });
    }
}

std::string ProxyRequests::objectionToRetry(ProxyRequest& request)
{
    if (request.possibleRuns > 0 && !request.mayRunAgain()) {
        return "the request may run only once";
    }
    if (const auto fingerprint = request.fingerprint(); fingerprint && quarantine_.quarantineEntry(*fingerprint)) {
        return "too many backend servers crashed while running this request";
    }
    if (quarantine_.heldBackPart(request.sharedParts)) {
        return "too many backend servers crashed while running requests with a part of this prompt";
    }
    if (request.possibleRuns >= request.route->maxServers) {
        return "the route's maximum number of backend servers may have run the request";
    }
    if (request.dispatches >= maxDispatches || request.arrivals >= maxArrivals) {
        return "sent to the maximum number of backend servers";
    }
    if (request.deadline - context_.now() < minTimeLeft) {
        return "no time left for another attempt";
    }
    // The bound counts what arrives at backend servers: the next attempt of a request that never arrived is its first.
    if (request.arrivals > 0 && !reserveRetry(request)) {
        return "this router's share of the fleet's retries is used up";
    }
    return {};
}

bool ProxyRequests::reserveRetry(ProxyRequest& request)
{
    routing::RetryShare& retries = serviceState(request).retries;
    const routing::FleetSize size = fleetSize_();
    const double extra = routing::equalShare(context_.settings().retries.extra, size);
    request.retryReserved = retries.reserve(extra, context_.now());
    context_.log(LogLineBuilder("retry")
                     .with("request", request.info.id)
                     .with("service", request.service->name.value())
                     .with("reserved", request.retryReserved)
                     .with("routers", static_cast<std::int64_t>(size.routers))
                     .with("registered", size.registered)
                     .with("extra", extra)
                     .with("credit", retries.credit())
                     .with("retries_reserved", static_cast<std::int64_t>(retries.reserved())));
    return request.retryReserved;
}

void ProxyRequests::countRetry(ProxyRequest& request)
{
    request.countedAsRetry = std::exchange(request.retryReserved, false);
    if (request.countedAsRetry) {
        serviceState(request).retries.onSent(context_.now());
    }
}

void ProxyRequests::refundRetry(ProxyRequest& request)
{
    if (std::exchange(request.countedAsRetry, false)) {
        serviceState(request).retries.onNotArrived();
    }
}

} // namespace swiftlift::node
