#include "http/service_task.hpp"

#include <boost/test/unit_test.hpp>

#include "support/early_server.hpp"
#include "support/raw_server.hpp"
#include "task/channel.hpp"

using namespace cyclamen;
using namespace std::chrono_literals;

namespace {

/// Calls a service and waits for the end of the call.
std::optional<api::service_event> call_service(const core::socket_address& address,
                                               const std::string& body)
{
    const auto events = std::make_shared<task::channel<api::service_event>>();
    http::service_task services{events};
    BOOST_REQUIRE(services.start().ok());
    const api::call_attempt attempt{api::call_id{1}, core::attempt_number{1}};
    BOOST_REQUIRE(
        services.inbox()
            ->post(api::open_call{attempt, address, body.empty() ? "GET" : "POST", "/", {}, body})
            .ok());
    std::optional<api::service_event> last;
    while (const auto event = events->take(2s)) {
        last.emplace(*event);
        if (!std::holds_alternative<api::call_sent>(*event)) {
            break;
        }
    }
    services.stop();
    return last;
}

void expect_lost(const std::optional<api::service_event>& last, const std::string& what)
{
    BOOST_REQUIRE(last.has_value());
    BOOST_REQUIRE_MESSAGE(std::holds_alternative<api::call_lost>(*last), what);
    BOOST_TEST(std::get<api::call_lost>(*last).sent, what);
}

} // namespace

// Guards against a faulty service whose answer has no end.
BOOST_AUTO_TEST_CASE(a_response_without_end_is_a_lost_call)
{
    const test::raw_server target{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                                  "1000\r\n" + std::string(0x1000, 'x') + "\r\n"};
    expect_lost(call_service(target.address, ""), "chunks without end");
}

BOOST_AUTO_TEST_CASE(an_early_response_that_is_cut_is_a_lost_call)
{
    using test::connection_end;
    const std::string upload(4 * 1024 * 1024, 'u');
    for (const connection_end end : {connection_end::reset, connection_end::half_close_and_reset,
                                     connection_end::read_and_reset}) {
        const test::early_server target{"HTTP/1.1 200 OK\r\n\r\npart", end, 20ms};
        std::ostringstream what;
        what << end;
        expect_lost(call_service(target.address, upload), what.str());
    }
}

BOOST_AUTO_TEST_CASE(a_response_whose_status_is_none_of_the_protocol_is_a_lost_call)
{
    const std::string rest = " Trouble\r\nContent-Length: 0\r\n\r\n";
    for (const std::string status : {"000", "099", "101", "600", "2OO", ""}) {
        for (const std::string next : {"", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}) {
            const test::raw_server target{"HTTP/1.1 " + status + rest + next, ""};
            expect_lost(call_service(target.address, ""), "status '" + status + "' " + next);
        }
    }
}
