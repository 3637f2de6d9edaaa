#pragma once

namespace swiftlift::config {

struct KeptRecords;
struct PublishRequest;
struct ServiceRevision;

class ConfigFold;
class SnapshotSchedule;

} // namespace swiftlift::config
