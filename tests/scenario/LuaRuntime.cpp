#include "LuaRuntime.h"

#include <cmath>

#include <lua.hpp>

#include "Errors.h"

namespace swiftlift::scenario {

namespace internal {

    constexpr int deepestTable = 16;
    constexpr const char* expectationKind = "expectation";
    constexpr const char* scriptKind = "script";

    Json toJson(lua_State* state, int index, int depth = 0);

    Json tableToJson(lua_State* state, int index, int depth)
    {
        if (depth > deepestTable)
            throw BrokenScript("a table is nested too deep");
        const auto length = static_cast<std::int64_t>(lua_rawlen(state, index));
        Json result = length > 0 ? Json::array() : Json::object();
        for (std::int64_t i = 1; i <= length; ++i) {
            lua_rawgeti(state, index, i);
            result.push_back(toJson(state, lua_gettop(state), depth + 1));
            lua_pop(state, 1);
        }
        if (length > 0)
            return result;
        lua_pushnil(state);
        while (lua_next(state, index) != 0) {
            if (lua_type(state, -2) != LUA_TSTRING)
                throw BrokenScript("a table's names have to be text");
            const std::string name = lua_tostring(state, -2);
            result[name] = toJson(state, lua_gettop(state), depth + 1);
            lua_pop(state, 1);
        }
        return result;
    }

    Json toJson(lua_State* state, int index, int depth)
    {
        switch (lua_type(state, index)) {
        case LUA_TNIL:
            return nullptr;
        case LUA_TBOOLEAN:
            return lua_toboolean(state, index) != 0;
        case LUA_TNUMBER:
            if (lua_isinteger(state, index))
                return static_cast<std::int64_t>(lua_tointeger(state, index));
            return static_cast<double>(lua_tonumber(state, index));
        case LUA_TSTRING: {
            std::size_t length = 0;
            const char* text = lua_tolstring(state, index, &length);
            return std::string(text, length);
        }
        case LUA_TTABLE:
            return tableToJson(state, index, depth);
        default:
            throw BrokenScript(std::string("a ") + luaL_typename(state, index) + " can't be handed over");
        }
    }

    void push(lua_State* state, const Json& value)
    {
        lua_checkstack(state, 4);
        if (value.is_boolean()) {
            lua_pushboolean(state, value.get<bool>() ? 1 : 0);
        } else if (value.is_number_integer()) {
            lua_pushinteger(state, value.get<std::int64_t>());
        } else if (value.is_number()) {
            lua_pushnumber(state, value.get<double>());
        } else if (value.is_string()) {
            const auto& text = value.get_ref<const std::string&>();
            lua_pushlstring(state, text.data(), text.size());
        } else if (value.is_array()) {
            lua_newtable(state);
            for (std::size_t i = 0; i < value.size(); ++i) {
                push(state, value[i]);
                lua_rawseti(state, -2, static_cast<lua_Integer>(i + 1));
            }
        } else if (value.is_object()) {
            lua_newtable(state);
            for (const auto& [name, field] : value.items()) {
                push(state, field);
                lua_setfield(state, -2, name.c_str());
            }
        } else {
            lua_pushnil(state);
        }
    }

    void pushError(lua_State* state, const char* kind, const std::string& text)
    {
        push(state, Json { { "kind", kind }, { "text", text } });
    }

    /** Lua's message handler: adds where it happened, and makes a table of an error of Lua's own. */
    int addPlace(lua_State* state)
    {
        if (!lua_istable(state, 1)) {
            const char* text = luaL_tolstring(state, 1, nullptr);
            lua_newtable(state);
            lua_pushstring(state, text);
            lua_setfield(state, -2, "text");
            lua_pushstring(state, scriptKind);
            lua_setfield(state, -2, "kind");
            lua_replace(state, 1);
        }
        luaL_traceback(state, state, nullptr, 1);
        lua_setfield(state, 1, "place");
        lua_settop(state, 1);
        return 1;
    }

    [[noreturn]] void raise(const Json& error)
    {
        const std::string text = error.value("text", "") + "\n" + error.value("place", "");
        if (error.value("kind", "") == expectationKind)
            throw ExpectationFailed(text);
        throw BrokenScript(text);
    }

} // namespace internal

LuaRuntime::LuaRuntime()
    : state_(luaL_newstate())
{
    if (!state_)
        throw BrokenScript("no memory for Lua");
    luaL_openlibs(state_);
}

LuaRuntime::~LuaRuntime() { lua_close(state_); }

void LuaRuntime::add(const std::string& name, Verb verb)
{
    auto entry = std::make_unique<Entry>(Entry { name, std::move(verb) });
    lua_pushlightuserdata(state_, entry.get());
    lua_pushcclosure(state_, &LuaRuntime::call, 1);
    lua_setglobal(state_, name.c_str());
    entries_[name] = std::move(entry);
}

void LuaRuntime::run(const std::string& text, const std::string& name)
{
    lua_settop(state_, 0);
    lua_pushcfunction(state_, &internal::addPlace);
    if (luaL_loadbuffer(state_, text.data(), text.size(), ("@" + name).c_str()) != LUA_OK)
        throw BrokenScript(lua_tostring(state_, -1));
    if (lua_pcall(state_, 0, 0, 1) != LUA_OK)
        internal::raise(internal::toJson(state_, lua_gettop(state_)));
}

int LuaRuntime::call(lua_State* state)
{
    // lua_error leaves by longjmp and would skip destructors; so all C++ objects live and die inside invoke().
    return invoke(state) ? 1 : lua_error(state);
}

bool LuaRuntime::invoke(lua_State* state) noexcept
{
    const auto* entry = static_cast<const Entry*>(lua_touserdata(state, lua_upvalueindex(1)));
    try {
        Json values = Json::array();
        const int count = lua_gettop(state);
        for (int i = 1; i <= count; ++i)
            values.push_back(internal::toJson(state, i));
        internal::push(state, entry->verb(Arguments(entry->name, std::move(values))));
        return true;
    } catch (const ExpectationFailed& error) {
        internal::pushError(state, internal::expectationKind, error.what());
    } catch (const std::exception& error) {
        internal::pushError(state, internal::scriptKind, entry->name + ": " + error.what());
    }
    return false;
}

} // namespace swiftlift::scenario
