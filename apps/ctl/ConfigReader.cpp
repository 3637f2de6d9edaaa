#include "ctl/ConfigReader.h"

#include <variant>

namespace swiftlift::ctl {

namespace {

    const StreamName configStream("config");

} // namespace

ConfigReader::ConfigReader(Log& log)
    : StreamReader(log, configStream)
{
}

bool ConfigReader::apply(Offset offset, const std::string& record)
{
    std::vector<config::ConfigEffect> effects;
    if (!fold_.apply(offset, record, effects)) {
        return fail("config: " + fold_.lastReason());
    }
    for (const auto& effect : effects) {
        noteVerdict(effect);
    }
    return true;
}

void ConfigReader::noteVerdict(const config::ConfigEffect& effect)
{
    const auto note = [&](const auto& each) {
        if constexpr (requires { each.id; }) {
            // The first record with the id decides; the effect of a repeated append only reports that it is a repeat.
            if (id_ == 0 || each.id != id_ || verdict_) {
                return;
            }
            verdict_ = effect;
            if (const auto* const last = fold_.last(each.service)) {
                winner_ = *last;
            }
        }
    };
    std::visit(note, effect);
}

} // namespace swiftlift::ctl
