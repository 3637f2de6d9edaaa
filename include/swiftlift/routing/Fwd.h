#pragma once

namespace swiftlift::routing {

struct Announcement;
struct Choice;
struct CollectorCandidate;
struct FleetRate;
struct FleetShare;
struct LoadReport;
struct LoadSender;
struct SelectRequest;
struct ServerLoad;
struct SharedAnnouncement;

class Admission;
class BackendTable;
class CollectorChoice;
class DomainReachability;
class FairQueue;
class FleetLoad;
class LinkMonitor;
class LoadCollector;
class RetryBudget;
class Selector;

} // namespace swiftlift::routing
