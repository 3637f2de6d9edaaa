#pragma once

#include <string>

#include "swiftlift/base/StrongType.h"

namespace swiftlift::settings {

/** Where something listens, as `ip:port`, both numbers. */
using Endpoint = StrongType<struct EndpointTag, std::string>;

} // namespace swiftlift::settings
