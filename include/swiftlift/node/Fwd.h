#pragma once

namespace swiftlift::node {

struct CallerRequest;
struct Envelope;

class Core;

} // namespace swiftlift::node
