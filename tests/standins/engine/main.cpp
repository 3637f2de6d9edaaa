#include <sstream>

#include "common/Program.h"
#include "engine/EngineService.h"

namespace {

using swiftlift::standins::EngineSettings;
using swiftlift::standins::Options;

void addCosts(Options& options, EngineSettings& settings)
{
    options.addNumber("step-ms", "shortest time of a step", settings.stepMs);
    options.addNumber("step-growth-ms", "what each sequence adds to a step", settings.stepGrowthMs);
    options.addNumber("prefill-token-ms", "what each uncached prompt token adds to a step", settings.prefillTokenMs);
    options.addNumber("prefill-chunk", "most prompt tokens computed in a step", settings.prefillChunk);
    options.addNumber("max-batch", "most sequences in a step", settings.maxBatch);
    options.addNumber("max-waiting", "sequences waiting beyond this are answered with 429", settings.maxWaiting);
    options.addNumber("cache-tokens", "tokens that fit in memory", settings.cacheTokens);
}

void addReports(Options& options, EngineSettings& settings)
{
    options.addNumber("load-lag-ms", "age of the load report", settings.loadLagMs);
    options.addNumber("event-lag-ms", "age of the cache events", settings.eventLagMs);
    options.addNumber("event-gap", "probability that a cache event is never published", settings.eventGap);
    options.addNumber("seed", "seed of the losses", settings.seed);
}

void addOrders(Options& options, EngineSettings& settings)
{
    options.addNumber("check-fencing", "1: refuse orders with an old fencing number; 0: don't", settings.checkFencing);
    options.addNumber("load-ms", "time to load a model", settings.loadMs);
    options.add("models", "models loaded at the start, with commas between", [&settings](const std::string& text) {
        std::istringstream names(text);
        for (std::string name; std::getline(names, name, ',');) {
            settings.models.insert(name);
        }
    });
}

} // namespace

int main(int argc, char** argv)
{
    using namespace swiftlift::standins;
    EngineSettings settings;
    Options options;
    addCosts(options, settings);
    addReports(options, settings);
    addOrders(options, settings);
    return runProgram(argc, argv, options, [&settings] { return std::make_unique<EngineService>(settings); });
}
