#pragma once

namespace swiftlift::routing {

struct Announcement;
struct Choice;
struct FleetRate;
struct FleetShare;
struct LoadReport;
struct SelectRequest;
struct ServerLoad;
struct SharedAnnouncement;

class Admission;
class BackendTable;
class DomainReachability;
class FairQueue;
class FleetLoad;
class LinkMonitor;
class RetryBudget;
class Selector;

} // namespace swiftlift::routing
