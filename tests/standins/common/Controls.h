#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "common/Types.h"
#include "swiftlift/base/Finding.h"

namespace swiftlift::standins {

/** What `POST /control` may change: a function for each name of the JSON object. */
class Controls {
public:
    /** Gets the value; may add to the reply. Throws when the value is of the wrong kind. */
    using Setter = std::function<void(const Json& value, Json& reply)>;

    void add(std::string name, Setter setter);

    /** Adds a name that assigns its value to `target`, which must outlive this. */
    template <typename Value> void addValue(std::string name, Value& target)
    {
        add(std::move(name), [&target](const Json& value, Json&) { target = value.get<Value>(); });
    }

    /**
     * @brief Applies all members of the object in the order in which their names were added, or none when one isn't
     * known.
     * @param text The JSON object.
     * @param reply Gets the setters' additions.
     * @return What is wrong, empty when all is well.
     */
    [[nodiscard]] Findings apply(const std::string& text, Json& reply);

private:
    [[nodiscard]] Findings unknownNames(const Json& change) const;

    [[nodiscard]] bool knows(const std::string& name) const;

    std::vector<std::pair<std::string, Setter>> setters_;
};

} // namespace swiftlift::standins
