#include "load/Report.h"

#include <iomanip>
#include <ostream>

#include <nlohmann/json.hpp>

namespace swiftlift::load {

namespace {

    using nlohmann::json;

    constexpr int nameWidth = 30;
    constexpr int numberWidth = 11;
    constexpr double bytesPerMegabyte = 1e6;
    constexpr double millisecondsPerSecond = 1e3;

    [[nodiscard]] json toJson(const Percentiles& values)
    {
        return { { "count", values.count }, { "mean_ms", values.mean }, { "p50_ms", values.p50 },
            { "p95_ms", values.p95 }, { "p99_ms", values.p99 }, { "most_ms", values.most } };
    }

    [[nodiscard]] json toJson(const ArmSummary& arm)
    {
        return { { "sent", arm.sent }, { "answered", arm.answered }, { "tokens", arm.tokens },
            { "refused", arm.refused }, { "unknown", arm.unknown }, { "errors", arm.errors },
            { "first_token", toJson(arm.firstToken) }, { "between_tokens", toJson(arm.betweenTokens) },
            { "whole", toJson(arm.whole) }, { "client_late", toJson(arm.late) } };
    }

    [[nodiscard]] json toJson(const ProcessSummary& process)
    {
        return { { "process", process.process }, { "found", process.found },
            { "processor_seconds", process.processorSeconds }, { "resident_before", process.residentBefore },
            { "resident_after", process.residentAfter }, { "resident_peak", process.residentPeak },
            { "threads", process.threads } };
    }

    void writeLine(std::ostream& out, const std::string& name, const Percentiles& values)
    {
        out << std::left << std::setw(nameWidth) << name << std::right;
        for (const double value : { values.p50, values.p95, values.p99, values.most, values.mean }) {
            out << std::setw(numberWidth) << value;
        }
        out << std::setw(numberWidth) << values.count << '\n';
    }

    void writeCounts(std::ostream& out, const char* kind, const std::map<std::string, std::uint64_t>& counts)
    {
        for (const auto& [reason, count] : counts) {
            out << "  " << kind << ' ' << reason << ": " << count << '\n';
        }
    }

    void writeArm(std::ostream& out, const std::string& name, const ArmSummary& arm)
    {
        if (arm.sent == 0) {
            return;
        }
        out << name << ": sent " << arm.sent << ", answered " << arm.answered << ", tokens " << arm.tokens << '\n';
        writeCounts(out, "refused", arm.refused);
        writeCounts(out, "unknown", arm.unknown);
        writeCounts(out, "error", arm.errors);
        writeLine(out, "  first token, ms", arm.firstToken);
        writeLine(out, "  between tokens, ms", arm.betweenTokens);
        writeLine(out, "  whole answer, ms", arm.whole);
        writeLine(out, "  client late, ms", arm.late);
    }

    void writeProcess(std::ostream& out, const ProcessSummary& process, const ArmSummary& routed)
    {
        out << "process " << process.process << ": ";
        if (!process.found) {
            out << "not there\n";
            return;
        }
        out << process.processorSeconds << " s of processor time, resident "
            << process.residentBefore / bytesPerMegabyte << " MB before and "
            << process.residentAfter / bytesPerMegabyte << " MB after, at most "
            << process.residentPeak / bytesPerMegabyte << " MB, " << process.threads << " threads";
        if (routed.answered > 0) {
            out << "; " << process.processorSeconds * millisecondsPerSecond / static_cast<double>(routed.answered)
                << " ms for each request answered by the routers";
        }
        out << '\n';
    }

} // namespace

void writeTable(std::ostream& out, const Summary& summary)
{
    out << std::fixed << std::setprecision(3) << std::left << std::setw(nameWidth) << "" << std::right;
    for (const char* name : { "p50", "p95", "p99", "most", "mean", "count" }) {
        out << std::setw(numberWidth) << name;
    }
    out << '\n';
    writeArm(out, "routed", summary.routed);
    writeArm(out, "direct", summary.direct);
    if (summary.added.pairs > 0) {
        out << "added by the router, " << summary.added.pairs << " pairs\n";
        writeLine(out, "  first token, ms", summary.added.firstToken);
        writeLine(out, "  mean between tokens, ms", summary.added.betweenTokens);
        writeLine(out, "  whole answer, ms", summary.added.whole);
    }
    for (const auto& process : summary.processes) {
        writeProcess(out, process, summary.routed);
    }
}

std::string toJson(const Options& options, const Summary& summary)
{
    json processes = json::array();
    for (const auto& process : summary.processes) {
        processes.push_back(toJson(process));
    }
    const json result = { { "seed", options.seed }, { "rate", options.rate },
        { "duration_s", options.duration.count() }, { "routers", options.routers.size() },
        { "engines", options.engines.size() }, { "stream", options.stream }, { "max_tokens", options.maxTokens },
        { "seconds", summary.seconds }, { "routed", toJson(summary.routed) }, { "direct", toJson(summary.direct) },
        { "added",
            { { "pairs", summary.added.pairs }, { "first_token", toJson(summary.added.firstToken) },
                { "between_tokens", toJson(summary.added.betweenTokens) }, { "whole", toJson(summary.added.whole) } } },
        { "processes", processes } };
    constexpr int indent = 2;
    return result.dump(indent);
}

} // namespace swiftlift::load
