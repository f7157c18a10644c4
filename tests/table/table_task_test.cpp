#include "table/table_task.hpp"

#include <boost/test/unit_test.hpp>

#include "support/ports.hpp"
#include "task/channel.hpp"

using namespace cyclamen;

namespace {

using answer_channel = task::channel<api::table_event>;

/// Runs one command on a new task.
/// @return the failure that it ends with
api::table_failed run_until_failed(const table::table_service_settings& settings,
                                   const api::table_command& command)
{
    const auto received = std::make_shared<answer_channel>();
    table::table_task task{settings, received};
    BOOST_REQUIRE(task.start().ok());
    BOOST_REQUIRE(task.inbox()->post(command).ok());
    const auto event = received->take(std::chrono::seconds{5});
    task.stop();
    BOOST_REQUIRE(event.has_value());
    return std::get<api::table_failed>(*event);
}

const api::table_command& commit()
{
    static const api::table_command command =
        api::table_commit{api::table_request{1}, {{{"t", "a"}, "x", std::nullopt}}};
    return command;
}

} // namespace

BOOST_AUTO_TEST_CASE(without_an_address_a_commit_fails_as_not_applied)
{
    BOOST_TEST(!run_until_failed({}, commit()).may_be_applied);
}

BOOST_AUTO_TEST_CASE(a_commit_fails_as_not_applied_if_the_connection_is_refused)
{
    BOOST_TEST(!run_until_failed({test::free_address()}, commit()).may_be_applied);
}
