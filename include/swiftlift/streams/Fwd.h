#pragma once

namespace swiftlift::streams {

class VersionBook;
class VersionHistory;

} // namespace swiftlift::streams
