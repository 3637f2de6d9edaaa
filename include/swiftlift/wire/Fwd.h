#pragma once

namespace swiftlift::wire {

struct PeerEnvelope;

} // namespace swiftlift::wire
