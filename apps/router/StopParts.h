#pragma once

namespace swiftlift::router {

/** Parts that the time limit of a planned stop is divided into: 10 are for requests in progress, 1 is for callers to
 * receive their replies, and the last is for the threads to end. Callers also have what requests in progress leave of
 * the time. */
inline constexpr int stopParts = 12;
inline constexpr int stopPartsInProgress = 10;
inline constexpr int stopPartsDraining = 1;

} // namespace swiftlift::router
