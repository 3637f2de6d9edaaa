#pragma once

namespace swiftlift::node::internal {

/** Handlers of a variant's alternatives, for std::visit. */
template <typename... Handlers> struct Overloaded : Handlers... {
    using Handlers::operator()...;
};
template <typename... Handlers> Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace swiftlift::node::internal
