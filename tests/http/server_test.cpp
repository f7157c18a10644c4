#include "http/server.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string_view>

#include <boost/test/unit_test.hpp>

#include "support/ports.hpp"

using namespace cyclamen;

namespace {

class counting_handler final : public http::server_handler {
  public:
    void on_request(http::exchange_id exchange, const http::request& /*received*/) override
    {
        ++requests;
        last = exchange;
    }
    void on_disconnect(http::exchange_id /*exchange*/) override {}

    int requests = 0;
    http::exchange_id last;
};

int connect_to(const core::socket_address& address)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(address.port);
    ::inet_pton(AF_INET, address.ip.c_str(), &to.sin_addr);
    BOOST_REQUIRE(::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0);
    return fd;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_request_received_while_the_server_closes_is_not_handled)
{
    constexpr std::string_view request = "GET / HTTP/1.1\r\nhost: x\r\n\r\n";
    task::event_loop loop;
    loop.open();
    counting_handler handler;
    const core::socket_address address = test::free_address();
    auto listening = http::server::listen(loop, address, http::server_settings{}, handler);
    BOOST_REQUIRE(listening.ok());
    const int fd = connect_to(address);
    for (int round = 0; round < 5; ++round) {
        loop.run_once(std::chrono::milliseconds{10});
    }
    BOOST_REQUIRE(::write(fd, request.data(), request.size()) ==
                  static_cast<ssize_t>(request.size()));
    listening->reset();
    BOOST_TEST(handler.requests == 0);
    ::close(fd);
    loop.close();
}

BOOST_AUTO_TEST_CASE(connections_closed_right_after_a_response_do_not_corrupt_the_loop)
{
    constexpr std::string_view request = "GET / HTTP/1.1\r\nhost: x\r\n\r\n";
    task::event_loop loop;
    loop.open();
    counting_handler handler;
    for (int round = 0; round < 50; ++round) {
        const core::socket_address address = test::free_address();
        auto listening = http::server::listen(loop, address, http::server_settings{}, handler);
        BOOST_REQUIRE(listening.ok());
        const int fd = connect_to(address);
        const int other = connect_to(address);
        BOOST_REQUIRE(::write(fd, request.data(), request.size()) ==
                      static_cast<ssize_t>(request.size()));
        handler.requests = 0;
        while (handler.requests == 0) {
            loop.run_once(std::chrono::milliseconds{10});
        }
        // The response is written at once; h2o reports that in the next iteration of the loop.
        (*listening)->respond(handler.last, http::response_head{200, {}}, "whole");
        listening->reset();
        for (int i = 0; i < 3; ++i) {
            loop.run_once(std::chrono::milliseconds{1});
        }
        std::string received(4096, ' ');
        const ssize_t size = ::recv(fd, received.data(), received.size(), 0);
        BOOST_TEST(received.substr(0, static_cast<std::size_t>(std::max<ssize_t>(size, 0)))
                       .ends_with("whole"));
        ::close(fd);
        ::close(other);
    }
    loop.close();
}
