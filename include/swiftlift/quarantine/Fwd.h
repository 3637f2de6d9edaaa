#pragma once

namespace swiftlift::quarantine {

struct QuarantineEntry;
struct Fingerprint;
struct QuarantineLimits;
struct Report;
struct ReportId;
struct BackendInstance;

class Quarantine;
class ReportOutbox;

} // namespace swiftlift::quarantine
