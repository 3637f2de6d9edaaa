#pragma once

namespace swiftlift::transport {

struct Endpoint;
class DecisionInbox;
struct TaggedEvent;

class Decider;
class DecisionLoop;
class LogClient;
class Metrics;
class OperatorServer;
class PeerLinks;
class PlatformClient;
class StreamServer;

} // namespace swiftlift::transport
