#pragma once

namespace swiftlift::routing {

struct Choice;
struct LoadReport;
struct SelectRequest;

class Admission;
class BackendTable;
class DomainReach;
class FairQueue;
class RetryBudget;
class Selector;

} // namespace swiftlift::routing
