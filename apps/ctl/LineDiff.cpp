#include "ctl/LineDiff.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace swiftlift::ctl {

namespace {

    using Lines = std::vector<std::string_view>;

    /** Maximum number of table cells. A larger difference is shown as all old lines removed and all new lines added,
     * because its table would take too much memory. */
    constexpr std::size_t maxTableCells = 4'000'000;

    [[nodiscard]] Lines splitLines(std::string_view text)
    {
        Lines lines;
        while (!text.empty()) {
            const auto end = text.find('\n');
            lines.push_back(text.substr(0, end));
            text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
        }
        return lines;
    }

    void print(std::string& out, char sign, std::size_t number, std::string_view line)
    {
        out += sign + std::to_string(number) + ": " + std::string(line) + '\n';
    }

    /** Lengths of the longest common subsequences of all pairs of suffixes of two texts, in lines. */
    class CommonLengths {
    public:
        CommonLengths(std::span<const std::string_view> before, std::span<const std::string_view> after)
            : width_(after.size() + 1)
            , lengths_((before.size() + 1) * width_, 0)
        {
            for (auto row = before.size(); row-- > 0;) {
                for (auto column = after.size(); column-- > 0;) {
                    lengths_[row * width_ + column] = before[row] == after[column]
                        ? at(row + 1, column + 1) + 1
                        : std::max(at(row + 1, column), at(row, column + 1));
                }
            }
        }

        [[nodiscard]] std::uint32_t at(std::size_t row, std::size_t column) const
        {
            return lengths_[row * width_ + column];
        }

    private:
        std::size_t width_;
        std::vector<std::uint32_t> lengths_;
    };

    [[nodiscard]] std::string diffMiddle(
        std::span<const std::string_view> before, std::span<const std::string_view> after, std::size_t skipped)
    {
        std::string out;
        const bool small = (before.size() + 1) * (after.size() + 1) <= maxTableCells;
        const CommonLengths lengths(small ? before : before.first(0), small ? after : after.first(0));
        std::size_t row = 0;
        std::size_t column = 0;
        while (row < before.size() || column < after.size()) {
            const bool inBoth = row < before.size() && column < after.size();
            if (small && inBoth && before[row] == after[column]) {
                ++row;
                ++column;
            } else if (column == after.size()
                || (row < before.size() && (!small || lengths.at(row + 1, column) >= lengths.at(row, column + 1)))) {
                print(out, '-', skipped + row + 1, before[row]);
                ++row;
            } else {
                print(out, '+', skipped + column + 1, after[column]);
                ++column;
            }
        }
        return out;
    }

} // namespace

std::string lineDiff(std::string_view before, std::string_view after)
{
    const auto old = splitLines(before);
    const auto fresh = splitLines(after);
    const auto [oldStart, freshStart] = std::mismatch(old.begin(), old.end(), fresh.begin(), fresh.end());
    const auto skipped = static_cast<std::size_t>(oldStart - old.begin());
    auto oldEnd = old.end();
    auto freshEnd = fresh.end();
    while (oldEnd != oldStart && freshEnd != freshStart && *(oldEnd - 1) == *(freshEnd - 1)) {
        --oldEnd;
        --freshEnd;
    }
    return diffMiddle({ oldStart, oldEnd }, { freshStart, freshEnd }, skipped);
}

} // namespace swiftlift::ctl
