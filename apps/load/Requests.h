#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "load/Options.h"
#include "load/Schedule.h"

namespace swiftlift::load {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;

/** @return The request as a caller sends it to a router. */
[[nodiscard]] HttpRequest routerRequest(const Arrival& arrival, const Options& options);

/** @return The request as a router sends it to an engine. */
[[nodiscard]] HttpRequest engineRequest(const Arrival& arrival, const Options& options);

} // namespace swiftlift::load
