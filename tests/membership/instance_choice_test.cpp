#include "membership/instance_choice.hpp"

#include <map>
#include <random>

#include <boost/test/unit_test.hpp>

#include "core/text.hpp"

using namespace cyclamen;
using api::member_state;

namespace {

const core::socket_address self{"127.0.0.1", 1};

api::member member_at(std::uint16_t port, member_state state)
{
    return api::member{{core::instance_name{core::concat("i", port)}, core::incarnation{1}},
                       1,
                       state,
                       core::failure_domain_name{core::concat("d", port % 3)},
                       core::socket_address{"127.0.0.1", port},
                       core::socket_address{"127.0.0.1", 9}};
}

} // namespace

BOOST_AUTO_TEST_CASE(instance_recommends_itself_if_none_is_serving)
{
    const auto choice =
        membership::choose_instance({member_at(1, member_state::starting)}, self, 5);
    BOOST_TEST((choice.preferred == self));
    BOOST_TEST(choice.alternates.empty());
}

BOOST_AUTO_TEST_CASE(choices_are_spread_evenly_over_serving_instances)
{
    std::vector<api::member> members;
    for (std::uint16_t port = 1; port <= 20; ++port) {
        members.push_back(
            member_at(port, port <= 16 ? member_state::serving : member_state(port - 16)));
    }
    constexpr int answers = 16'000;
    std::map<std::uint16_t, int> counts;
    std::mt19937_64 random{1};
    for (int i = 0; i < answers; ++i) {
        const auto choice = membership::choose_instance(members, self, random());
        ++counts[choice.preferred.port];
        BOOST_REQUIRE_EQUAL(choice.alternates.size(), 3U);
        for (const auto& alternate : choice.alternates) {
            BOOST_REQUIRE(alternate.port <= 17);
            BOOST_REQUIRE(alternate.port % 3 != choice.preferred.port % 3);
        }
    }
    // 17 instances are serving: ports 1 to 16, and port 17, whose member_state(1) is `serving`.
    BOOST_TEST(counts.size() == 17U);
    for (const auto& [port, count] : counts) {
        BOOST_TEST(std::abs(count - answers / 17) < answers / 17 / 4);
    }
}
