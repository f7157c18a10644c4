#include "core/text.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "core/hash.hpp"
#include "core/socket_address.hpp"

using namespace cyclamen;

BOOST_AUTO_TEST_CASE(parse_number_rejects_partial_empty_and_out_of_range_text)
{
    BOOST_TEST(core::parse_number<int>("17").value() == 17);
    BOOST_TEST(!core::parse_number<int>("17x").has_value());
    BOOST_TEST(!core::parse_number<int>("").has_value());
    BOOST_TEST(!core::parse_number<std::uint16_t>("70000").has_value());
}

BOOST_AUTO_TEST_CASE(a_socket_address_needs_a_numeric_ip_and_a_port)
{
    BOOST_TEST(core::to_string(core::parse_socket_address("127.0.0.1:80").value()) ==
               "127.0.0.1:80");
    for (const char* malformed :
         {"", "127.0.0.1", "localhost:80", "127.0.0.1:", "127.0.0.1:65536"}) {
        BOOST_TEST(!core::parse_socket_address(malformed).ok());
    }
}

RC_BOOST_PROP(split_restores_the_parts_of_join, ())
{
    const auto words = *rc::gen::container<std::vector<std::string>>(
        rc::gen::nonEmpty(rc::gen::container<std::string>(rc::gen::inRange('a', 'z'))));
    const std::string text = core::join(words, " ");
    const auto parts = core::split(text, ' ');
    RC_ASSERT((std::vector<std::string>{parts.begin(), parts.end()} == words));
}
