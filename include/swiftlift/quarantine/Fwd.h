#pragma once

namespace swiftlift::quarantine {

struct Confinement;
struct Fingerprint;
struct QuarantineLimits;
struct Report;
struct ReportId;
struct ServerLife;

class Quarantine;
class ReportOutbox;

} // namespace swiftlift::quarantine
