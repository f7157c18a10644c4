#include "core/free_address.hpp"

#include <set>

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <sys/socket.h>
#include <unistd.h>

using namespace cyclamen;

namespace {

sockaddr_in encode(const core::socket_address& address)
{
    sockaddr_in encoded{};
    encoded.sin_family = AF_INET;
    encoded.sin_port = htons(address.port);
    ::inet_pton(AF_INET, address.ip.c_str(), &encoded.sin_addr);
    return encoded;
}

} // namespace

BOOST_AUTO_TEST_CASE(no_address_is_found_twice)
{
    std::set<core::socket_address> found;
    constexpr std::size_t count = 2000;
    for (std::size_t i = 0; i < count; ++i) {
        const auto address = core::find_free_loopback_address();
        BOOST_REQUIRE(address.ok());
        found.insert(*address);
    }
    BOOST_TEST(found.size() == count);
}

BOOST_AUTO_TEST_CASE(outgoing_connections_do_not_use_the_ip_of_a_found_address)
{
    const auto address = core::find_free_loopback_address();
    BOOST_REQUIRE(address.ok());
    const sockaddr_in to = encode(*address);
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    BOOST_REQUIRE(::bind(listener, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0);
    BOOST_REQUIRE(::listen(listener, 1) == 0);
    const int caller = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    BOOST_REQUIRE(::connect(caller, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0);
    sockaddr_in from{};
    socklen_t size = sizeof(from);
    BOOST_REQUIRE(::getsockname(caller, reinterpret_cast<sockaddr*>(&from), &size) == 0);
    BOOST_TEST(from.sin_addr.s_addr != to.sin_addr.s_addr);
    ::close(caller);
    ::close(listener);
}
