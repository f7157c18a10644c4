#include "table/table_task.hpp"

#include <boost/test/unit_test.hpp>

#include "support/ports.hpp"
#include "task/channel.hpp"

using namespace cyclamen;

namespace {

using answers = task::channel<api::table_event>;

api::table_failed fail_of(const table::table_service_settings& settings,
                          const api::table_command& command)
{
    const auto heard = std::make_shared<answers>();
    table::table_task task{settings, heard};
    BOOST_REQUIRE(task.start().ok());
    BOOST_REQUIRE(task.inbox()->post(command).ok());
    const auto event = heard->take(std::chrono::seconds{5});
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

BOOST_AUTO_TEST_CASE(without_an_address_nothing_is_applied)
{
    BOOST_TEST(!fail_of({}, commit()).may_be_applied);
}

BOOST_AUTO_TEST_CASE(a_refused_connection_means_not_applied)
{
    BOOST_TEST(!fail_of({test::free_address()}, commit()).may_be_applied);
}
