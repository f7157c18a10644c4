#pragma once

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <string>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "support/ports.hpp"

namespace cyclamen::test {

/// How a server ends a connection.
enum class connection_end {
    /// Resets it.
    reset,
    /// Ends its own direction in order, then resets the connection.
    half_close_and_reset,
    /// Ends its own direction in order, then reads what the peer still sends.
    half_close_and_read,
    /// Reads the rest of the request, then resets the connection.
    read_and_reset,
    /// Reads the rest of the request, then closes the connection in order.
    read_and_close,
};

inline std::ostream& operator<<(std::ostream& out, connection_end end)
{
    constexpr std::array<const char*, 5> names{
        "reset", "half_close_and_reset", "half_close_and_read", "read_and_reset", "read_and_close"};
    return out << names.at(static_cast<std::size_t>(end));
}

/// A server that answers each request before it has read it.
class early_server {
  public:
    /// @param answer written after the first bytes of a request
    /// @param end how connections end
    /// @param pause time from the answer to the end
    early_server(std::string answer, connection_end end, std::chrono::milliseconds pause)
        : answer_{std::move(answer)}, end_{end}, pause_{pause}
    {
        sockaddr_in bound{};
        bound.sin_family = AF_INET;
        bound.sin_port = htons(address.port);
        ::inet_pton(AF_INET, address.ip.c_str(), &bound.sin_addr);
        BOOST_REQUIRE(::bind(listener_, reinterpret_cast<const sockaddr*>(&bound), sizeof(bound)) ==
                      0);
        BOOST_REQUIRE(::listen(listener_, 8) == 0);
        thread_ = std::thread{[this] { run(); }};
    }
    ~early_server()
    {
        ::shutdown(listener_, SHUT_RDWR);
        thread_.join();
        ::close(listener_);
    }
    early_server(const early_server&) = delete;
    early_server& operator=(const early_server&) = delete;

    const core::socket_address address = test::free_address();
    std::atomic<int> connections = 0;

  private:
    const std::string answer_;
    const connection_end end_;
    const std::chrono::milliseconds pause_;
    const int listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    std::thread thread_;

    void run()
    {
        for (int fd = ::accept(listener_, nullptr, nullptr); fd >= 0;
             fd = ::accept(listener_, nullptr, nullptr)) {
            ++connections;
            std::array<char, 4096> part{};
            (void)::recv(fd, part.data(), part.size(), 0);
            (void)::send(fd, answer_.data(), answer_.size(), MSG_NOSIGNAL);
            if (end_ == connection_end::read_and_reset || end_ == connection_end::read_and_close) {
                read_rest(fd);
            }
            std::this_thread::sleep_for(pause_);
            finish(fd);
            ::close(fd);
        }
    }

    void finish(int fd) const
    {
        if (end_ == connection_end::half_close_and_reset ||
            end_ == connection_end::half_close_and_read) {
            ::shutdown(fd, SHUT_WR);
        }
        if (end_ == connection_end::half_close_and_read) {
            read_rest(fd);
        }
        if (end_ == connection_end::half_close_and_reset) {
            std::this_thread::sleep_for(pause_);
        }
        if (end_ != connection_end::half_close_and_read && end_ != connection_end::read_and_close) {
            const linger discard{1, 0};
            ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
        }
    }

    /// Reads until the peer sends no more for a while or closes the connection.
    static void read_rest(int fd)
    {
        const timeval limit{0, 200'000};
        ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        std::array<char, 65536> part{};
        while (::recv(fd, part.data(), part.size(), 0) > 0) {
        }
    }
};

} // namespace cyclamen::test
