#pragma once

namespace swiftlift::fleet {

class FleetCodec;
class RouteTable;

struct BackendServer;
struct FleetConfig;
struct Route;

} // namespace swiftlift::fleet
