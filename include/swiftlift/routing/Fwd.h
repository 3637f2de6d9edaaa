#pragma once

namespace swiftlift::routing {

struct Choice;
struct LoadReport;
struct SelectRequest;
struct WarmupLimit;
struct WarmupShare;

class Admission;
class BackendTable;
class DomainReachability;
class FairQueue;
class RetryBudget;
class Selector;

} // namespace swiftlift::routing
