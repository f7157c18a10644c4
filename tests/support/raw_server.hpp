#pragma once

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <string>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "support/ports.hpp"

namespace cyclamen::test {

/// A server that writes bytes without regard to the requests that it receives.
class raw_server {
  public:
    /// @param begin written first on each connection
    /// @param repeated then written until the peer closes; empty to write nothing more
    /// @param resets true to end connections with a reset instead of a close
    raw_server(std::string begin, std::string repeated, bool resets = false)
        : begin_{std::move(begin)}, repeated_{std::move(repeated)}, resets_{resets}
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
    ~raw_server()
    {
        ::shutdown(listener_, SHUT_RDWR);
        thread_.join();
        ::close(listener_);
    }
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;

    const core::socket_address address = test::free_address();
    std::atomic<int> connections = 0;

  private:
    const std::string begin_;
    const std::string repeated_;
    const bool resets_;
    const int listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    std::thread thread_;

    void run()
    {
        for (int fd = ::accept(listener_, nullptr, nullptr); fd >= 0;
             fd = ::accept(listener_, nullptr, nullptr)) {
            ++connections;
            std::string request(4096, ' ');
            (void)::recv(fd, request.data(), request.size(), 0);
            bool open = ::send(fd, begin_.data(), begin_.size(), MSG_NOSIGNAL) >= 0;
            while (open && !repeated_.empty()) {
                open = ::send(fd, repeated_.data(), repeated_.size(), MSG_NOSIGNAL) > 0;
            }
            if (resets_) {
                const linger discard{1, 0};
                ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
            }
            ::close(fd);
        }
    }
};

} // namespace cyclamen::test
