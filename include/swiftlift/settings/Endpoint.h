#pragma once

#include <string>

#include "swiftlift/base/StrongType.h"

namespace swiftlift::settings {

/** Address of a listener as `ip:port`, a numeric IPv4 address and a port number. */
using Endpoint = StrongType<struct EndpointTag, std::string>;

} // namespace swiftlift::settings
