#pragma once

#include <compare>
#include <string>
#include <string_view>
#include <vector>

#include "core/identifier.hpp"

namespace cyclamen::http {

/// Number of an exchange (one request with its response) of a client or server.
using exchange_id = core::number<struct exchange_id_tag>;

/// One header field.
struct header {
    /// Name in lower case.
    const std::string name;
    const std::string value;

    auto operator<=>(const header&) const = default;
};

/// A complete request.
struct request {
    const std::string method;
    /// Path, including the query.
    const std::string path;
    const std::vector<header> headers;
    const std::string body;

    auto operator<=>(const request&) const = default;

    /// @param name header name in lower case
    /// @return value of the header, empty if absent
    [[nodiscard]] std::string_view find_header(std::string_view name) const;
};

/// Status and header fields of a response.
struct response_head {
    const int status;
    const std::vector<header> headers;

    auto operator<=>(const response_head&) const = default;
};

/// @param name header name in lower case
/// @return value of the first header of this name, empty if absent
[[nodiscard]] std::string_view find_header(const std::vector<header>& headers,
                                           std::string_view name);

} // namespace cyclamen::http
