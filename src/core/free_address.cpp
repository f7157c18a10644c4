#include "core/free_address.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>

#include "core/error.hpp"
#include "core/text.hpp"

namespace cyclamen::core {

namespace {

constexpr std::uint16_t first_port = 20000;
constexpr std::uint16_t port_count = 10000;

/// @return an address of the loopback network that belongs to this process alone. Outgoing
///         connections are bound to 127.0.0.1, so that their ports can't collide with listeners.
std::string process_loopback_ip()
{
    constexpr std::uint32_t first_network = 64;
    constexpr std::uint32_t network_mask = 63;
    constexpr std::uint32_t byte_mask = 255;
    const auto process = static_cast<std::uint32_t>(::getpid());
    return concat("127.", first_network + ((process >> 16) & network_mask), ".",
                  (process >> 8) & byte_mask, ".", process & byte_mask);
}

bool can_bind(const socket_address& address)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in bound{};
    bound.sin_family = AF_INET;
    bound.sin_port = htons(address.port);
    ::inet_pton(AF_INET, address.ip.c_str(), &bound.sin_addr);
    const bool free =
        fd >= 0 && ::bind(fd, reinterpret_cast<const sockaddr*>(&bound), sizeof(bound)) == 0;
    if (fd >= 0) {
        ::close(fd);
    }
    return free;
}

} // namespace

absl::StatusOr<socket_address> find_free_loopback_address()
{
    static std::atomic<std::uint32_t> last{0};
    for (std::uint32_t i = 0; i < port_count; ++i) {
        const auto port = static_cast<std::uint16_t>(first_port + last++ % port_count);
        socket_address address{process_loopback_ip(), port};
        if (can_bind(address)) {
            return address;
        }
    }
    return make_error(error_kind::unavailable, "no loopback address is free",
                      "stop other programs that listen on loopback");
}

} // namespace cyclamen::core
