#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "ctl/StreamReader.h"
#include "swiftlift/ledger/Entry.h"
#include "swiftlift/ledger/Fold.h"

namespace swiftlift::ctl {

/** Outcome of an author's first item. */
struct LedgerVerdict {
    /** Offset of the item's record; `std::nullopt` if the record precedes the checkpoint that the fold started from. */
    std::optional<Offset> offset;
    std::optional<ledger::Entry> entry;
    /** Why the ledger's rules refused the item; `std::nullopt` if they admitted it. */
    std::optional<std::string> refusal;
};

/** Folds one shard of the ledger, and records the outcome of one author's first item. */
class LedgerReader final : public StreamReader {
public:
    LedgerReader(Log& log, StreamName stream);

    /** @brief Selects the author whose first item is watched. Must be called before the first catchUp(). */
    void watch(Incarnation author) noexcept { author_ = author; }

    /** @return Outcome of the watched item; `std::nullopt` if it has not been found in the stream. */
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
    /** Offset of the oldest retained record while the reader searches for a checkpoint; otherwise `std::nullopt`. */
    std::optional<Offset> seekFrom_;
    /** Offset of the next record to read during that search. */
    Offset seekNext_;
};

} // namespace swiftlift::ctl
