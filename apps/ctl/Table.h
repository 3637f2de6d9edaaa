#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace swiftlift::ctl {

/** Table of text in aligned columns. */
class Table {
public:
    using Row = std::vector<std::string>;

    explicit Table(Row head);

    /** @brief Adds a row, which must have as many cells as the head. */
    void add(Row row);

    /** @return The head and the rows, each cell padded to the width of its column. */
    [[nodiscard]] std::string text() const;

private:
    std::vector<Row> rows_;
};

/** @return A JSON value as text for people: one line for each value, and a table for each list of objects. */
[[nodiscard]] std::string readable(const nlohmann::json& json);

} // namespace swiftlift::ctl
