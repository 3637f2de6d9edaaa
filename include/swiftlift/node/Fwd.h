#pragma once

namespace swiftlift::node {

struct CallerRequest;
struct KeyedRecords;
struct ProxyRequestInfo;
struct Envelope;

class Core;

} // namespace swiftlift::node
