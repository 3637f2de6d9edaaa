#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "ctl/StreamReader.h"
#include "swiftlift/ledger/Entry.h"
#include "swiftlift/ledger/Fold.h"

namespace swiftlift::ctl {

/** What became of an author's first item. */
struct LedgerVerdict {
    /** Nothing: it landed before the checkpoint that was read. */
    std::optional<Offset> offset;
    std::optional<ledger::Entry> entry;
    /** Why the rules refused it; nothing: admitted. */
    std::optional<std::string> refusal;
};

/** Folds one shard of the ledger, and watches for one author's item. */
class LedgerReader final : public StreamReader {
public:
    LedgerReader(Log& log, StreamName stream);

    /** @brief Watches for the first item of this author; before the first catchUp(). */
    void watch(Incarnation author) noexcept { author_ = author; }

    /** @return What became of the watched item; nothing: it has not landed. */
    [[nodiscard]] std::optional<LedgerVerdict> verdict() const;

    [[nodiscard]] const ledger::Fold& fold() const noexcept { return fold_; }

protected:
    [[nodiscard]] Offset readFrom() const override;
    [[nodiscard]] bool apply(Offset offset, const std::string& record) override;
    void startFrom(Offset oldest) override;
    [[nodiscard]] bool seeking() const override { return seekFrom_.has_value(); }

private:
    void seek(Offset offset, const ledger::Batch& batch);
    void noteVerdict(Offset offset, const ledger::Batch& batch, const std::vector<ledger::Effect>& effects);

    ledger::Fold fold_;
    Incarnation author_;
    std::optional<LedgerVerdict> verdict_;
    /** While a checkpoint is sought: the oldest record that is left. */
    std::optional<Offset> seekFrom_;
    Offset seekNext_;
};

} // namespace swiftlift::ctl
