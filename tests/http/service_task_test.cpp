#include "http/service_task.hpp"

#include <boost/test/unit_test.hpp>

#include "support/raw_server.hpp"
#include "task/channel.hpp"

using namespace cyclamen;
using namespace std::chrono_literals;

// Guards against a faulty service whose answer has no end.
BOOST_AUTO_TEST_CASE(a_response_without_end_is_a_lost_call)
{
    const test::raw_server target{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                                  "1000\r\n" + std::string(0x1000, 'x') + "\r\n"};
    const auto events = std::make_shared<task::channel<api::service_event>>();
    http::service_task services{events};
    BOOST_REQUIRE(services.start().ok());
    const api::call_attempt attempt{api::call_id{1}, core::attempt_number{1}};
    BOOST_REQUIRE(
        services.inbox()->post(api::open_call{attempt, target.address, "GET", "/", {}, ""}).ok());
    std::optional<api::service_event> last;
    while (const auto event = events->take(2s)) {
        last.emplace(*event);
        if (std::holds_alternative<api::call_lost>(*event)) {
            break;
        }
    }
    BOOST_REQUIRE(last.has_value());
    BOOST_REQUIRE(std::holds_alternative<api::call_lost>(*last));
    BOOST_TEST(std::get<api::call_lost>(*last).sent);
    services.stop();
}
