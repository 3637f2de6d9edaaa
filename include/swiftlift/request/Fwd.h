#pragma once

namespace swiftlift::request {

struct Record;

class RequestTable;

} // namespace swiftlift::request
