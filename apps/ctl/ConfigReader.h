#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "ctl/StreamReader.h"
#include "swiftlift/config/ConfigEffect.h"
#include "swiftlift/config/ConfigFold.h"

namespace swiftlift::ctl {

/** Folds the stream `config`, and records the outcome of one publish. */
class ConfigReader final : public StreamReader {
public:
    explicit ConfigReader(Log& log);

    /** @brief Selects the publish whose outcome is recorded. Must be called before the first catchUp(). */
    void watch(std::uint64_t id) noexcept { id_ = id; }

    /** @return Outcome of the watched publish; `std::nullopt` if it has not been found in the stream. */
    [[nodiscard]] const std::optional<config::ConfigEffect>& verdict() const noexcept { return verdict_; }

    /** @return The revision in force when the watched publish was decided: its own, or the one that it lost to. */
    [[nodiscard]] const std::optional<config::ServiceRevision>& winner() const noexcept { return winner_; }

    [[nodiscard]] const config::ConfigFold& fold() const noexcept { return fold_; }

protected:
    [[nodiscard]] Offset readFrom() const override { return fold_.readFrom(); }
    [[nodiscard]] bool apply(Offset offset, const std::string& record) override;
    void startFrom(Offset oldest) override { fold_.startFrom(oldest); }
    [[nodiscard]] bool seeking() const override { return fold_.seeking(); }

private:
    void noteVerdict(const config::ConfigEffect& effect);

    config::ConfigFold fold_;
    std::uint64_t id_ = 0;
    std::optional<config::ConfigEffect> verdict_;
    std::optional<config::ServiceRevision> winner_;
};

} // namespace swiftlift::ctl
