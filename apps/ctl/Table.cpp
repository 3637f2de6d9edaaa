#include "ctl/Table.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <cstddef>
#include <string_view>
#include <utility>

namespace swiftlift::ctl {

namespace {

    using Json = nlohmann::json;

    /** @return Number of UTF-8 characters, which approximates the terminal columns that the text takes. */
    [[nodiscard]] std::size_t displayWidth(const std::string& text)
    {
        return static_cast<std::size_t>(std::count_if(text.begin(), text.end(),
            [](char letter) { return (static_cast<unsigned char>(letter) & 0xC0U) != 0x80U; }));
    }

    [[nodiscard]] std::string cellText(const Json& value)
    {
        if (value.is_string()) {
            return value.get<std::string>();
        }
        if (value.is_null()) {
            return "-";
        }
        return value.dump(-1, ' ', false, Json::error_handler_t::replace);
    }

    [[nodiscard]] bool isTable(const Json& value)
    {
        return value.is_array() && !value.empty()
            && std::all_of(value.begin(), value.end(), [](const Json& row) { return row.is_object(); });
    }

    /** Columns that come first, in this order; the other columns follow. */
    constexpr std::array<std::string_view, 5> leadingColumns { "router", "account", "budget", "peer", "backend" };

    [[nodiscard]] std::string tableText(const Json& rows)
    {
        Table::Row head;
        for (const auto column : leadingColumns) {
            const auto has = [&](const Json& row) { return row.contains(column); };
            if (std::any_of(rows.begin(), rows.end(), has)) {
                head.emplace_back(column);
            }
        }
        for (const auto& row : rows) {
            for (const auto& [key, value] : row.items()) {
                if (std::find(head.begin(), head.end(), key) == head.end()) {
                    head.push_back(key);
                }
            }
        }
        Table table(head);
        for (const auto& row : rows) {
            Table::Row cells;
            for (const auto& key : head) {
                cells.push_back(row.contains(key) ? cellText(row[key]) : "-");
            }
            table.add(std::move(cells));
        }
        return table.text();
    }

} // namespace

Table::Table(Row head)
    : rows_ { std::move(head) }
{
}

void Table::add(Row row)
{
    assert(row.size() == rows_.front().size() && "a row has a cell for each column");
    rows_.push_back(std::move(row));
}

std::string Table::text() const
{
    constexpr std::size_t gap = 2;
    std::vector<std::size_t> widths(rows_.front().size(), 0);
    for (const auto& row : rows_) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], displayWidth(row[column]));
        }
    }
    std::string out;
    for (const auto& row : rows_) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            const bool isLast = column + 1 == row.size();
            out += row[column];
            out += isLast ? "\n" : std::string(widths[column] + gap - displayWidth(row[column]), ' ');
        }
    }
    return out;
}

std::string readable(const Json& json)
{
    if (isTable(json)) {
        return tableText(json);
    }
    if (!json.is_object()) {
        return cellText(json) + '\n';
    }
    std::string values;
    std::string tables;
    for (const auto& [key, value] : json.items()) {
        if (isTable(value) || value.is_object()) {
            tables += key + ":\n" + readable(value);
        } else {
            values += key + ": " + cellText(value) + '\n';
        }
    }
    return values + tables;
}

} // namespace swiftlift::ctl
