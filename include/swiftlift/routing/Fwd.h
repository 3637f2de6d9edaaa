#pragma once

namespace swiftlift::routing {

struct Announcement;
struct Choice;
struct FleetRate;
struct FleetShare;
struct LoadReport;
struct SelectRequest;
struct SharedAnnouncement;

class Admission;
class BackendTable;
class DomainReachability;
class FairQueue;
class LinkMonitor;
class RetryBudget;
class Selector;

} // namespace swiftlift::routing
