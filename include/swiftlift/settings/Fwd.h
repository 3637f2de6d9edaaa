#pragma once

namespace swiftlift::settings {

struct CtlSettings;
struct RouterSettings;
struct ServiceDocument;

} // namespace swiftlift::settings
