#pragma once

namespace swiftlift::node {

struct CallerRequest;
struct KeyedRecords;
struct PassageFacts;
struct Envelope;

class Core;

} // namespace swiftlift::node
