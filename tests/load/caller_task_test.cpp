#include "load/caller_task.hpp"

#include <boost/test/unit_test.hpp>

#include "support/ports.hpp"
#include "task/channel.hpp"

using namespace cyclamen;

BOOST_AUTO_TEST_CASE(refused_connection_is_reported_as_a_result)
{
    const auto results = std::make_shared<task::channel<load::generation_result>>();
    load::caller_task callers{results};
    BOOST_REQUIRE(callers.start().ok());
    BOOST_REQUIRE(callers.inbox()
                      ->post(load::send_generation{load::request_number{1}, test::free_address(),
                                                   "key", "", "m", "p", 1, true})
                      .ok());
    const auto result = results->take(std::chrono::seconds{10});
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST(result->status == 0);
    BOOST_TEST(!result->complete);
    BOOST_TEST(!result->error.empty());
    callers.stop();
}
