#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

struct lua_State;

namespace swiftlift::scenario {

using Json = nlohmann::json;

/** The arguments of one verb's call; a wrong type is a broken script, told with the verb's and the argument's name. */
class Arguments {
public:
    Arguments(std::string verb, Json values);

    [[nodiscard]] std::string text(std::size_t index, const std::string& name) const;
    [[nodiscard]] std::optional<std::string> optionalText(std::size_t index, const std::string& name) const;
    [[nodiscard]] std::int64_t number(std::size_t index, const std::string& name) const;
    [[nodiscard]] double real(std::size_t index, const std::string& name, double otherwise) const;
    [[nodiscard]] Json table(std::size_t index, const std::string& name) const;
    [[nodiscard]] Json any(std::size_t index) const;
    [[nodiscard]] std::size_t count() const noexcept { return values_.size(); }
    [[nodiscard]] const std::string& verb() const noexcept { return verb_; }

private:
    [[noreturn]] void wrong(const std::string& name, const std::string& wanted) const;

    std::string verb_;
    Json values_;
};

/** Reads the fields of a table argument; unknown fields are a broken script, since a misspelt one would go unseen. */
class Fields {
public:
    Fields(std::string verb, Json table);

    [[nodiscard]] std::string text(const std::string& name, std::optional<std::string> otherwise = std::nullopt);
    [[nodiscard]] std::int64_t number(const std::string& name, std::optional<std::int64_t> otherwise = std::nullopt);
    [[nodiscard]] double real(const std::string& name, double otherwise);
    [[nodiscard]] bool flag(const std::string& name, bool otherwise);
    /** @return The field's value; null when there is none. */
    [[nodiscard]] Json any(const std::string& name);
    [[nodiscard]] bool has(const std::string& name) const { return table_.contains(name); }
    /** Throws when a field was never asked for. */
    void nothingElse() const;

private:
    [[nodiscard]] const Json* find(const std::string& name);

    std::string verb_;
    Json table_;
    std::map<std::string, bool> asked_;
};

/** What a verb does; its result goes back to the script. */
using Verb = std::function<Json(const Arguments&)>;

/**
 * @brief Lua with the scenario's verbs. Values cross over as JSON.
 */
class LuaRuntime {
public:
    LuaRuntime();
    ~LuaRuntime();
    LuaRuntime(const LuaRuntime&) = delete;
    LuaRuntime& operator=(const LuaRuntime&) = delete;

    void add(const std::string& name, Verb verb);

    /** Runs a script from its text. Throws ExpectationFailed or BrokenScript. */
    void run(const std::string& text, const std::string& name);

private:
    struct Entry {
        std::string name;
        Verb verb;
    };

    static int call(lua_State* state);
    static bool invoke(lua_State* state) noexcept;

    lua_State* state_;
    std::map<std::string, std::unique_ptr<Entry>> entries_;
};

} // namespace swiftlift::scenario
