#pragma once

namespace swiftlift::quarantine {

struct QuarantineEntry;
struct Fingerprint;
struct QuarantineLimits;
struct Report;
struct ReportId;
struct BackendInstance;
struct HeldBackPart;
struct PartLimits;
struct PromptPart;

class PartSuspects;
class Quarantine;
class ReportOutbox;

} // namespace swiftlift::quarantine
