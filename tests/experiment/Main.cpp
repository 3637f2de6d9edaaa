#include <getopt.h>

#include <cstdio>
#include <cstdlib>
#include <string>

#include "experiment/Experiment.h"

namespace {

using swiftlift::experiment::Failure;
using swiftlift::experiment::Policy;
using swiftlift::experiment::Shape;
using swiftlift::node::testing::FakeFleet;

constexpr int failureStartSecond = 30;
constexpr int failureEndSecond = 90;

std::vector<Shape> shapes()
{
    return {
        { "stitchworks", { "a", "a", "b", "b", "c", "c", "d", "d" }, 10, 40, 120, 1.2 },
        { "burzowa", { "a", "a", "b", "b", "c", "d" }, 10, 40, 120, 1.2 },
        { "stitchworks, tight", { "a", "a", "b", "b", "c", "c", "d", "d" }, 10, 40, 120, 0.9 },
    };
}

/** @brief Disconnects the VMs firstVm to endVm - 1 from the log and from all other VMs. */
void isolate(FakeFleet& fleet, std::size_t firstVm, std::size_t endVm)
{
    for (std::size_t inside = firstVm; inside < endVm; ++inside) {
        fleet.cutFromLog(inside);
        for (std::size_t outside = 0; outside < fleet.size(); ++outside) {
            if (outside < firstVm || outside >= endVm) {
                fleet.cut(inside, outside);
            }
        }
    }
}

std::vector<Failure> failures()
{
    return {
        { "none", [](FakeFleet&, int) {} },
        { "domain a cut off, 60 s",
            [](FakeFleet& fleet, int second) {
                if (second == failureStartSecond) {
                    isolate(fleet, 0, 2);
                } else if (second == failureEndSecond) {
                    fleet.heal();
                }
            } },
        { "platform out, 60 s",
            [](FakeFleet& fleet, int second) {
                fleet.log.outage = second >= failureStartSecond && second < failureEndSecond;
            } },
        { "a VM dies each 20 s",
            [](FakeFleet& fleet, int second) {
                constexpr int period = 20;
                if (second >= failureStartSecond && second < failureEndSecond
                    && second % period == failureStartSecond % period) {
                    fleet.crash(static_cast<std::size_t>(second / period) % fleet.size());
                }
                if (second == failureEndSecond) {
                    for (std::size_t vm = 0; vm < fleet.size(); ++vm) {
                        if (!fleet.running(vm)) {
                            fleet.replace(vm);
                        }
                    }
                }
            } },
        { "the last VM cut off, 60 s",
            [](FakeFleet& fleet, int second) {
                if (second == failureStartSecond) {
                    isolate(fleet, fleet.size() - 1, fleet.size());
                } else if (second == failureEndSecond) {
                    fleet.heal();
                }
            } },
        { "the last VM dies, a new one after 60 s",
            [](FakeFleet& fleet, int second) {
                if (second == failureStartSecond) {
                    fleet.crash(fleet.size() - 1);
                } else if (second == failureEndSecond) {
                    fleet.replace(fleet.size() - 1);
                }
            } },
        { "platform out, and a VM dies",
            [](FakeFleet& fleet, int second) {
                fleet.log.outage = second >= failureStartSecond && second < failureEndSecond;
                if (second == failureStartSecond + 10) {
                    fleet.crash(0);
                }
                if (second == failureEndSecond) {
                    fleet.replace(0);
                }
            } },
    };
}

std::vector<Policy> policies()
{
    return {
        { "grants, refusals", "grants", "refusals" },
        { "grants, overspend", "grants", "overspend" },
        { "static split", "static_split", "refusals" },
        { "append a request", "append_per_request", "refusals" },
    };
}

void usage(const char* program)
{
    std::printf("usage: %s [--seed N] [--policy TEXT]\n"
                "  --policy  only policies whose name contains the text\n"
                "Runs the policies of holding budgets through the same loads and failures, and prints a table of\n"
                "what an all-seeing auditor counts.\n",
        program);
}

} // namespace

int main(int argc, char** argv)
{
    std::uint64_t seed = 1;
    std::string policyFilter;
    const option options[]
        = { { "seed", required_argument, nullptr, 's' }, { "policy", required_argument, nullptr, 'p' },
              { "help", no_argument, nullptr, 'h' }, { nullptr, 0, nullptr, 0 } };
    for (int optionCode = 0; (optionCode = getopt_long(argc, argv, "", options, nullptr)) != -1;) {
        if (optionCode == 's') {
            seed = std::strtoull(optarg, nullptr, 10);
        } else if (optionCode == 'p') {
            policyFilter = optarg;
        } else {
            usage(argv[0]);
            return optionCode == 'h' ? 0 : 2;
        }
    }
    std::printf("| shape | failure | policy | sent | answered | false refusals | true refusals | other | unknown | "
                "overspend | unbilled | stranded tokens | appends/s | peer B/s a VM | log B/s a VM |\n"
                "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n");
    for (const auto& shape : shapes()) {
        for (const auto& failure : failures()) {
            for (const auto& policy : policies()) {
                if (policy.name.find(policyFilter) == std::string::npos) {
                    continue;
                }
                const auto result = swiftlift::experiment::runExperiment(shape, failure, policy, seed);
                std::printf(
                    "| %s | %s | %s | %lu | %lu | %lu | %lu | %lu | %lu | %ld | %lu | %ld | %.1f | %.0f | %.0f |\n",
                    shape.name.c_str(), failure.name.c_str(), policy.name.c_str(), result.sent, result.answered,
                    result.falseRefusals, result.trueRefusals, result.otherRefusals, result.unknown, result.overspend,
                    result.unbilled, result.stranded, result.appendsPerSecond, result.peerBytesPerVmSecond,
                    result.logBytesPerVmSecond);
                std::fflush(stdout);
            }
        }
    }
    return 0;
}
