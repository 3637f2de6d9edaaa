#pragma once

namespace swiftlift::node::internal {

/** Combines one handler for each alternative of a variant, for std::visit. */
template <typename... Handlers> struct Overloaded : Handlers... {
    using Handlers::operator()...;
};
template <typename... Handlers> Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace swiftlift::node::internal
