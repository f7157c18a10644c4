#include "http/http_types.hpp"

namespace cyclamen::http {

std::string_view find_header(const std::vector<header>& headers, std::string_view name)
{
    for (const header& field : headers) {
        if (field.name == name) {
            return field.value;
        }
    }
    return {};
}

std::string_view request::find_header(std::string_view name) const
{
    return http::find_header(headers, name);
}

} // namespace cyclamen::http
