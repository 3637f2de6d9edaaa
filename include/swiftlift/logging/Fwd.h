#pragma once

namespace swiftlift::logging {

class JsonLog;

} // namespace swiftlift::logging
