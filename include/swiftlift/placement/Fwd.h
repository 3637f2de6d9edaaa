#pragma once

namespace swiftlift::placement {

struct Claim;
struct EngineReport;
struct LeaseChange;
struct LeaseSettings;
struct Need;
struct Order;
struct PlannerSettings;
struct LeaseTerm;

class LeaseFold;
class OrderLease;
class Planner;

} // namespace swiftlift::placement
