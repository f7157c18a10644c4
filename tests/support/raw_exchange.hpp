#pragma once

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>

#include "core/socket_address.hpp"

namespace cyclamen::test {

/// Sends bytes over a new connection and reads until the other side closes it, or for 10 s.
/// @return all bytes that were received, complete HTTP message or not
inline std::string exchange_raw(const core::socket_address& to, const std::string& bytes)
{
    const int connection = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.port);
    inet_pton(AF_INET, to.ip.c_str(), &address.sin_addr);
    const timeval limit{10, 0};
    setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    std::string received;
    if (connect(connection, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
        send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(bytes.size())) {
        char buffer[4096];
        for (ssize_t count = recv(connection, buffer, sizeof buffer, 0); count > 0;
             count = recv(connection, buffer, sizeof buffer, 0)) {
            received.append(buffer, static_cast<std::size_t>(count));
        }
    }
    close(connection);
    return received;
}

} // namespace cyclamen::test
