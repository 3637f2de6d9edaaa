#pragma once

namespace swiftlift::streams {

class VersionBook;
class VersionHistory;
struct VersionRecord;

} // namespace swiftlift::streams
