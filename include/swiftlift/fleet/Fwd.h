#pragma once

namespace swiftlift::fleet {

class Evacuations;
class FleetCodec;
class RouteTable;
class WarmupTracker;

struct BackendServer;
struct FleetConfig;
struct Route;

} // namespace swiftlift::fleet
