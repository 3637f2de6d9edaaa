#pragma once

#include <sstream>
#include <string>
#include <string_view>
#include <vector>

#include "swiftlift/base/Finding.h"

namespace swiftlift::settings::test {

/** Valid documents and settings; tests change single parts of them to provoke findings. */
inline constexpr std::string_view modelDocument = R"(service: stitch-plans
kind: model
model: punch-7b
weighting: refusals
accounts:
  - account: regina-curling
    budget: digitising
    weight: 3
  - {account: coop-davin, budget: main}
limits:
  max_body: 64KiB
  max_prompt_tokens: 4096
  max_answer_tokens: 2048
  deadline: 30s
  silence: 2500ms
  max_waiting: 128
retry:
  attempts: 2
  budget: 20%
backends:
  - {address: 127.0.11.1:8100, domain: regina-a}
  - {address: 127.0.11.2:8100, domain: regina-b}
)";

inline constexpr std::string_view plainDocument = R"(service: order-desk
kind: plain
accounts:
  - {account: regina-curling, budget: desk}
limits:
  call_cost: 5
backends:
  - {address: 127.0.11.9:8200, domain: regina-a}
)";

inline constexpr std::string_view routerSettings = R"(vm:
  peer: 127.0.1.1:7400
  domain: regina-a
  region: sask-south
callers: {listen: 127.0.1.1:8000}
operators: {listen: 127.0.1.1:8001}
metrics: {listen: 127.0.1.1:8002}
log: {endpoints: ["127.0.9.1:9000"]}
vm_list: {endpoint: 127.0.9.1:9001}
)";

/** @return The text with the first occurrence of `from` replaced by `to`. */
inline std::string replaced(std::string_view text, std::string_view from, std::string_view to)
{
    std::string result(text);
    result.replace(result.find(from), from.size(), to);
    return result;
}

/** @return `line:column: message` of each finding. */
inline std::vector<std::string> texts(const Findings& findings)
{
    std::vector<std::string> result;
    for (const auto& finding : findings) {
        std::ostringstream out;
        out << finding.line << ':' << finding.column << ": " << finding.message;
        result.push_back(out.str());
    }
    return result;
}

} // namespace swiftlift::settings::test
