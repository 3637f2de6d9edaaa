#pragma once

namespace swiftlift::config {

struct RetainedRecords;
struct PublishRequest;
struct ServiceRevision;

class ConfigFold;
class SnapshotSchedule;

} // namespace swiftlift::config
