#include <fstream>
#include <iostream>

#include "capacity/Axis.h"
#include "capacity/Options.h"
#include "capacity/Report.h"
#include "capacity/Runner.h"

namespace {

using namespace swiftlift::capacity;

[[nodiscard]] Axes allAxes()
{
    Axes axes;
    addFoldAxes(axes);
    addReadAxes(axes);
    addOutboxAxes(axes);
    addHolderAxes(axes);
    addMembershipAxes(axes);
    addRoutingAxes(axes);
    addConfigAxes(axes);
    addWireAxes(axes);
    addCoreAxes(axes);
    return axes;
}

void listAxes(const Axes& axes)
{
    for (const auto& axis : axes) {
        std::cout << axis->name() << " (" << axis->unit() << "):";
        for (const std::size_t size : axis->sizes()) {
            std::cout << ' ' << size;
        }
        std::cout << '\n';
    }
}

[[nodiscard]] bool writeCsvFile(const std::string& file, const std::vector<Series>& series)
{
    std::ofstream out(file);
    writeCsv(out, series);
    out.close();
    if (!out) {
        std::cerr << file << ": can't be written\n";
    }
    return static_cast<bool>(out);
}

} // namespace

int main(int argc, char** argv)
{
    constexpr int usageError = 2;
    const auto options = parseOptions(argc, argv);
    if (!options) {
        std::cerr << usage;
        return usageError;
    }
    if (options->help) {
        std::cout << usage;
        return 0;
    }
    const Axes axes = allAxes();
    if (options->list) {
        listAxes(axes);
        return 0;
    }
    const auto series = runAxes(axes, options->run, std::cerr);
    writeTable(std::cout, series);
    const bool written = options->csvFile.empty() || writeCsvFile(options->csvFile, series);
    return written ? 0 : 1;
}
