#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace swiftlift::ctl {

/** Text in columns, for people. */
class Table {
public:
    using Row = std::vector<std::string>;

    explicit Table(Row head);

    /** @brief Adds a row; it has as many cells as the head. */
    void add(Row row);

    /** @return The head and the rows, cells padded to the widest of their column. */
    [[nodiscard]] std::string text() const;

private:
    std::vector<Row> rows_;
};

/** @return A JSON value as a person reads it: values line by line, lists of objects as tables. */
[[nodiscard]] std::string readable(const nlohmann::json& json);

} // namespace swiftlift::ctl
