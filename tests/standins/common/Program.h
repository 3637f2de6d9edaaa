#pragma once

#include <functional>
#include <memory>

#include "common/Options.h"
#include "common/Service.h"

namespace swiftlift::standins {

/**
 * @brief Runs a stand-in as a program until SIGTERM or SIGINT; prints `listening ip:port` once it listens.
 * @param options Flags that the service's settings are read into.
 * @param makeService Called after the flags are read.
 * @return The exit status.
 */
[[nodiscard]] int runProgram(
    int argc, char** argv, const Options& options, const std::function<std::unique_ptr<Service>()>& makeService);

} // namespace swiftlift::standins
