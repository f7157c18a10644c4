#include "replica/source_choice.hpp"

#include <algorithm>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace cyclamen;
using replica::feed_peer;

namespace {

feed_peer peer(int index, int domains, double capacity)
{
    return feed_peer{
        core::instance_name{"i-" + std::to_string(index)},
        core::failure_domain_name{std::string(1, static_cast<char>('a' + index % domains))},
        core::socket_address{"10.0.0.1", static_cast<std::uint16_t>(1000 + index)}, capacity};
}

std::vector<feed_peer> fleet(int size, int domains)
{
    std::vector<feed_peer> members;
    for (int i = 0; i < size; ++i) {
        members.push_back(peer(i, domains, 0.2));
    }
    return members;
}

std::size_t count_readers(const std::vector<feed_peer>& members,
                          const replica::source_choice_settings& settings)
{
    return static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(), [&](const feed_peer& each) {
            return replica::choose_sources(members, each.name, each.domain, settings).reads_store;
        }));
}

} // namespace

BOOST_AUTO_TEST_CASE(each_failure_domain_has_one_reader_and_the_fleet_at_least_two)
{
    BOOST_TEST(count_readers(fleet(144, 3), {}) == 3U);
    BOOST_TEST(count_readers(fleet(12, 1), {}) == 2U);
    BOOST_TEST(count_readers(fleet(1, 1), {}) == 1U);
}

BOOST_AUTO_TEST_CASE(instance_with_the_highest_capacity_is_a_reader)
{
    std::vector<feed_peer> members = fleet(40, 2);
    const feed_peer strong = peer(41, 2, 0.5);
    members.push_back(strong);
    BOOST_TEST(replica::choose_sources(members, strong.name, strong.domain, {}).reads_store);
}

BOOST_AUTO_TEST_CASE(instance_that_knows_no_other_reads_the_store)
{
    const auto plan =
        replica::choose_sources({}, core::instance_name{"i"}, core::failure_domain_name{"a"}, {});
    BOOST_TEST(plan.reads_store);
    BOOST_TEST(plan.readers.empty());
}

BOOST_AUTO_TEST_CASE(every_instance_has_a_source_and_the_number_of_readers_is_bounded)
{
    BOOST_TEST(rc::check("all instances agree on a bounded set of readers", [] {
        const int size = *rc::gen::inRange(1, 200);
        const int domains = *rc::gen::inRange(1, 5);
        const replica::source_choice_settings settings{
            static_cast<std::size_t>(*rc::gen::inRange(4, 70))};
        const std::vector<feed_peer> members = fleet(size, domains);
        std::vector<core::instance_name> readers;
        for (const feed_peer& each : members) {
            if (replica::choose_sources(members, each.name, each.domain, settings).reads_store) {
                readers.push_back(each.name);
            }
        }
        RC_ASSERT(!readers.empty());
        RC_ASSERT(readers.size() <= static_cast<std::size_t>(domains) + 2 +
                                        static_cast<std::size_t>(size) / settings.max_followers);
        for (const feed_peer& each : members) {
            const auto plan = replica::choose_sources(members, each.name, each.domain, settings);
            RC_ASSERT(plan.reads_store || !plan.readers.empty());
            for (const feed_peer& reader : plan.readers) {
                RC_ASSERT(reader.name != each.name);
                RC_ASSERT(std::count(readers.begin(), readers.end(), reader.name) == 1);
            }
        }
    }));
}
