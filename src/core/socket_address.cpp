#include "core/socket_address.hpp"

#include <arpa/inet.h>

#include "core/error.hpp"
#include "core/text.hpp"

namespace cyclamen::core {

std::string to_string(const socket_address& address)
{
    return core::concat(address.ip, ":", address.port);
}

absl::StatusOr<socket_address> parse_socket_address(std::string_view text)
{
    const auto colon = text.rfind(':');
    const auto port = parse_number<std::uint16_t>(
        colon == std::string_view::npos ? std::string_view{} : text.substr(colon + 1));
    in_addr parsed{};
    const std::string ip{text.substr(0, colon)};
    if (!port.has_value() || inet_pton(AF_INET, ip.c_str(), &parsed) != 1) {
        return make_error(error_kind::invalid_argument,
                          core::concat("\"", text, "\" is not a socket address"),
                          "write an IPv4 address and a port, such as 127.0.0.1:8080");
    }
    return socket_address{ip, *port};
}

} // namespace cyclamen::core
