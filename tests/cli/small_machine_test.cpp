// Crowds of callers against a process whose machine has little memory: it must never use more than
// that. The CTest entry `callers` runs these tests, one at a time and beside no other test.

#include <boost/test/unit_test.hpp>

#include "support/caller_crowd.hpp"
#include "support/relay_process.hpp"
#include "support/route_process.hpp"

using namespace cyclamen;

namespace {

constexpr int status_ok = 200;
constexpr test::relay_process_limits small_machine{.memory_mb = 32};
constexpr std::size_t crowd_size = 100;
/// Bodies that are received at the same time may hold two of the largest ones.
constexpr std::size_t short_body_bytes = 64 * 1024;

/// What the own front holds for its callers at most, which has no setting, in MiB.
constexpr long own_front_memory_mib = 64;
constexpr std::size_t own_front_crowd_size = 300;

void check_survival(test::relay_process& process)
{
    BOOST_TEST(process.is_alive());
    BOOST_TEST_MESSAGE("peak: " << process.peak_mib()
                                << " MiB, open descriptors: " << process.open_descriptors());
    BOOST_TEST(process.peak_mib() < small_machine.memory_mb);
    BOOST_TEST(process.open_descriptors() < static_cast<std::size_t>(small_machine.descriptors));
    BOOST_TEST(process.ordinary_status() == status_ok);
    BOOST_TEST(process.get_status(process.at.ready, "/readyz") == status_ok);
    BOOST_TEST(process.is_alive());
}

void check_survival(test::route_process& tested)
{
    test::observed_process& process = tested.process();
    BOOST_TEST(process.is_alive());
    BOOST_TEST_MESSAGE("peak above idle: " << process.peak_above_idle_mib()
                                           << " MiB, open descriptors: "
                                           << process.open_descriptors());
    BOOST_TEST(process.peak_above_idle_mib() < own_front_memory_mib);
    BOOST_TEST(process.open_descriptors() < std::size_t{test::route_process::descriptors});
    BOOST_TEST(tested.ordinary_status() == status_ok);
    BOOST_TEST(process.is_alive());
}

/// @return a plan of a crowd in which each caller sends the same text again and again
test::crowd_plan repeat(const std::string& text, std::size_t callers = crowd_size)
{
    return test::crowd_plan{.callers = callers,
                            .next = [text](std::size_t, std::size_t) { return text; }};
}

/// Plays a crowd against a listener of an instance on a small machine.
void check_crowd(const core::socket_address soak::instance_addresses::*listener,
                 const test::crowd_plan& plan)
{
    test::relay_process process{small_machine};
    test::caller_crowd crowd;
    crowd.send(process.at.*listener, plan);
    check_survival(process);
}

/// Plays a crowd against a listener of an instance with the own front.
void check_own_front_crowd(const core::socket_address test::route_process::*listener,
                           const test::crowd_plan& plan)
{
    test::route_process process;
    test::caller_crowd crowd;
    crowd.send(process.*listener, plan);
    check_survival(process);
}

/// @return a field whose value lists many connection options, and its end of line
std::string connection_options(std::size_t bytes)
{
    std::string field = "connection: a";
    while (field.size() < bytes) {
        field += ",a";
    }
    return field + "\r\n";
}

/// @return many fields of a few bytes each
std::string many_fields(std::size_t bytes)
{
    std::string fields;
    while (fields.size() < bytes) {
        fields += "a:\r\n";
    }
    return fields;
}

} // namespace

BOOST_AUTO_TEST_CASE(small_machine_requests_ahead_without_the_usual_headers,
                     *boost::unit_test::label("callers"))
{
    check_crowd(&soak::instance_addresses::entry,
                repeat("GET /r/x HTTP/1.1\r\nhost: soak.example\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(small_machine_requests_ahead_at_the_ready_path,
                     *boost::unit_test::label("callers"))
{
    check_crowd(&soak::instance_addresses::entry,
                repeat("GET /readyz HTTP/1.1\r\nhost: soak.example\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(small_machine_requests_ahead_at_the_ready_listener,
                     *boost::unit_test::label("callers"))
{
    check_crowd(&soak::instance_addresses::ready,
                repeat("GET /readyz HTTP/1.1\r\nhost: x\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(small_machine_requests_ahead_at_paths_without_a_route,
                     *boost::unit_test::label("callers"))
{
    check_crowd(&soak::instance_addresses::entry,
                repeat("GET /nowhere HTTP/1.1\r\nhost: soak.example\r\n"
                       "x-cyclamencourse-request-id: n\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(small_machine_requests_ahead_without_a_host,
                     *boost::unit_test::label("callers"))
{
    check_crowd(&soak::instance_addresses::entry, repeat("GET /r/x HTTP/1.1\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(small_machine_requests_ahead_at_the_listener_of_instances,
                     *boost::unit_test::label("callers"))
{
    check_crowd(&soak::instance_addresses::feed,
                repeat("GET /nothing HTTP/1.1\r\nhost: x\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(small_machine_requests_ahead_at_the_metrics_listener,
                     *boost::unit_test::label("callers"))
{
    check_crowd(&soak::instance_addresses::metrics,
                repeat("GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(small_machine_requests_ahead_at_the_directory_listener,
                     *boost::unit_test::label("callers"))
{
    check_crowd(&soak::instance_addresses::directory,
                repeat("GET /directory HTTP/1.1\r\nhost: x\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(small_machine_bodies_that_never_end, *boost::unit_test::label("callers"))
{
    check_crowd(&soak::instance_addresses::entry,
                {.callers = crowd_size,
                 .bytes_per_caller = short_body_bytes,
                 .opening = "POST /u/x HTTP/1.1\r\nhost: soak.example\r\n"
                            "content-length: 4000000\r\n\r\n",
                 .next = [](std::size_t, std::size_t) { return std::string(4096, 'b'); }});
}

BOOST_AUTO_TEST_CASE(small_machine_heads_that_never_end, *boost::unit_test::label("callers"))
{
    check_crowd(&soak::instance_addresses::entry,
                {.callers = 400,
                 .bytes_per_caller = 15 * 1024,
                 .bytes_per_write = 5 * 1024,
                 .opening = "GET /r/x HTTP/1.1\r\n",
                 .next = [](std::size_t, std::size_t) { return "a:\r\n"; }});
}

BOOST_AUTO_TEST_CASE(small_machine_requests_ahead_on_connections_closed_one_way,
                     *boost::unit_test::label("callers"))
{
    test::relay_process process{small_machine};
    test::caller_crowd crowd;
    crowd.send(process.at.entry, repeat("GET /nowhere HTTP/1.1\r\nhost: soak.example\r\n\r\n"));
    crowd.finish_sending();
    check_survival(process);
}

BOOST_AUTO_TEST_CASE(small_machine_many_short_connections, *boost::unit_test::label("callers"))
{
    constexpr int rounds = 20;
    test::relay_process process{small_machine};
    for (int round = 0; round < rounds; ++round) {
        test::caller_crowd crowd;
        crowd.send(process.at.entry,
                   {.callers = crowd_size,
                    .opening = "GET /nowhere HTTP/1.1\r\nhost: soak.example\r\n\r\n"});
    }
    check_survival(process);
}

BOOST_AUTO_TEST_CASE(small_machine_streams_whose_answers_are_not_read,
                     *boost::unit_test::label("callers"))
{
    check_crowd(&soak::instance_addresses::entry,
                {.callers = crowd_size,
                 .bytes_per_caller = 64 * 1024,
                 .next = [](std::size_t caller, std::size_t part) {
                     return core::concat(
                         "POST /s/x HTTP/1.1\r\nhost: soak.example\r\napi-key: soak-key\r\n",
                         "x-cyclamencourse-request-id: s-", caller, "-", part,
                         "\r\nx-cyclamencourse-deadline-ms: 5000\r\nx-cyclamencourse-model: m\r\n",
                         "x-cyclamencourse-token-counts: 100,3000\r\n",
                         "x-cyclamencourse-prompt-prefix: part-", caller,
                         ":100\r\ncontent-length: 4\r\n\r\nbody");
                 }});
}

BOOST_AUTO_TEST_CASE(small_machine_heads_with_many_connection_options,
                     *boost::unit_test::label("callers"))
{
    check_crowd(&soak::instance_addresses::entry,
                repeat("GET /r/x HTTP/1.1\r\nhost: soak.example\r\nx-cyclamencourse-request-id: o"
                       "\r\n" +
                       connection_options(7000) + many_fields(7000) + "\r\n"));
}

BOOST_AUTO_TEST_CASE(small_machine_trailers_with_many_connection_options,
                     *boost::unit_test::label("callers"))
{
    check_crowd(&soak::instance_addresses::entry,
                repeat("POST /u/x HTTP/1.1\r\nhost: soak.example\r\nx-cyclamencourse-request-id: o"
                       "\r\ntransfer-encoding: chunked\r\n" +
                       connection_options(16'000) + "\r\n1\r\nb\r\n0\r\n" + many_fields(16'000) +
                       "\r\n"));
}

BOOST_AUTO_TEST_CASE(own_front_requests_ahead_at_paths_without_a_route,
                     *boost::unit_test::label("callers"))
{
    check_own_front_crowd(&test::route_process::entry,
                          repeat("GET /nowhere HTTP/1.1\r\nhost: x\r\n\r\n", own_front_crowd_size));
}

BOOST_AUTO_TEST_CASE(own_front_requests_ahead_that_are_invalid, *boost::unit_test::label("callers"))
{
    check_own_front_crowd(&test::route_process::entry,
                          repeat("POST /v1/completions HTTP/1.1\r\nhost: x\r\n"
                                 "content-length: 2\r\n\r\n{}",
                                 own_front_crowd_size));
}

BOOST_AUTO_TEST_CASE(own_front_requests_ahead_at_the_listener_of_peers,
                     *boost::unit_test::label("callers"))
{
    check_own_front_crowd(&test::route_process::peers,
                          repeat("GET /nowhere HTTP/1.1\r\nhost: x\r\n\r\n", own_front_crowd_size));
}

// The error that the answer quotes holds a byte that is not UTF-8.
BOOST_AUTO_TEST_CASE(own_front_a_path_that_is_not_utf8, *boost::unit_test::label("callers"))
{
    check_own_front_crowd(&test::route_process::entry,
                          repeat("GET /nowhere\xff HTTP/1.1\r\nhost: x\r\n\r\n", 1));
}
