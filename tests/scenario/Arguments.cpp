#include "Errors.h"
#include "LuaRuntime.h"

namespace swiftlift::scenario {

Arguments::Arguments(std::string verb, Json values)
    : verb_(std::move(verb))
    , values_(std::move(values))
{
}

std::string Arguments::text(std::size_t index, const std::string& name) const
{
    if (index >= values_.size() || !values_[index].is_string())
        wrong(name, "text");
    return values_[index].get<std::string>();
}

std::optional<std::string> Arguments::optionalText(std::size_t index, const std::string& name) const
{
    if (index >= values_.size() || values_[index].is_null())
        return std::nullopt;
    return text(index, name);
}

std::int64_t Arguments::number(std::size_t index, const std::string& name) const
{
    if (index >= values_.size() || !values_[index].is_number())
        wrong(name, "a number");
    return values_[index].get<std::int64_t>();
}

double Arguments::real(std::size_t index, const std::string& name, double otherwise) const
{
    if (index >= values_.size() || values_[index].is_null())
        return otherwise;
    if (!values_[index].is_number())
        wrong(name, "a number");
    return values_[index].get<double>();
}

Json Arguments::table(std::size_t index, const std::string& name) const
{
    if (index >= values_.size() || !values_[index].is_object())
        wrong(name, "a table with named fields");
    return values_[index];
}

Json Arguments::any(std::size_t index) const { return index < values_.size() ? values_[index] : Json(); }

void Arguments::wrong(const std::string& name, const std::string& wanted) const
{
    throw BrokenScript(verb_ + ": " + name + " has to be " + wanted);
}

Fields::Fields(std::string verb, Json table)
    : verb_(std::move(verb))
    , table_(std::move(table))
{
    if (!table_.is_object())
        throw BrokenScript(verb_ + ": needs a table with named fields");
}

const Json* Fields::find(const std::string& name)
{
    asked_[name] = true;
    const auto found = table_.find(name);
    return found == table_.end() ? nullptr : &*found;
}

std::string Fields::text(const std::string& name, std::optional<std::string> otherwise)
{
    const Json* value = find(name);
    if (!value && otherwise)
        return *otherwise;
    if (!value || !value->is_string())
        throw BrokenScript(verb_ + ": " + name + " has to be text");
    return value->get<std::string>();
}

std::int64_t Fields::number(const std::string& name, std::optional<std::int64_t> otherwise)
{
    const Json* value = find(name);
    if (!value && otherwise)
        return *otherwise;
    if (!value || !value->is_number())
        throw BrokenScript(verb_ + ": " + name + " has to be a number");
    return value->get<std::int64_t>();
}

double Fields::real(const std::string& name, double otherwise)
{
    const Json* value = find(name);
    if (value && !value->is_number())
        throw BrokenScript(verb_ + ": " + name + " has to be a number");
    return value ? value->get<double>() : otherwise;
}

bool Fields::flag(const std::string& name, bool otherwise)
{
    const Json* value = find(name);
    if (value && !value->is_boolean())
        throw BrokenScript(verb_ + ": " + name + " has to be true or false");
    return value ? value->get<bool>() : otherwise;
}

Json Fields::any(const std::string& name)
{
    const Json* value = find(name);
    return value ? *value : Json();
}

void Fields::nothingElse() const
{
    for (const auto& [name, value] : table_.items()) {
        if (!asked_.contains(name))
            throw BrokenScript(verb_ + ": knows no field " + name);
    }
}

} // namespace swiftlift::scenario
