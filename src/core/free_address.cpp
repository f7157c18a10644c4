#include "core/free_address.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <optional>

#include "core/error.hpp"

namespace cyclamen::core {

namespace {

/// Tests whether a loopback port can be bound.
/// @param port the port; 0 to let the operating system choose one
/// @return the port, empty if it can't be bound
std::optional<std::uint16_t> try_port(std::uint16_t port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in bound{};
    bound.sin_family = AF_INET;
    bound.sin_port = htons(port);
    bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(bound);
    const bool found = fd >= 0 &&
                       ::bind(fd, reinterpret_cast<const sockaddr*>(&bound), sizeof(bound)) == 0 &&
                       ::getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &size) == 0;
    if (fd >= 0) {
        ::close(fd);
    }
    return found ? std::optional{ntohs(bound.sin_port)} : std::nullopt;
}

absl::StatusOr<socket_address> to_address(std::optional<std::uint16_t> port)
{
    if (!port.has_value()) {
        return make_error(error_kind::unavailable, "no loopback address is free",
                          "stop other programs that listen on loopback");
    }
    return socket_address{"127.0.0.1", *port};
}

} // namespace

absl::StatusOr<socket_address> find_free_loopback_address()
{
    return to_address(try_port(0));
}

absl::StatusOr<socket_address> find_free_loopback_address_from(std::uint16_t first_port)
{
    constexpr std::uint16_t max_ports = 1000;
    std::optional<std::uint16_t> found;
    for (std::uint16_t i = 0; i < max_ports && !found.has_value(); ++i) {
        found = try_port(static_cast<std::uint16_t>(first_port + i));
    }
    return to_address(found);
}

} // namespace cyclamen::core
