#pragma once

namespace swiftlift::ring {

template <typename T> class BoundedRing;
template <typename T> class Inbox;
template <typename T> class Outbox;

class Wakeup;

} // namespace swiftlift::ring
