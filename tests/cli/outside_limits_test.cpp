// Callers outside the limits of the configuration, against a real process. The CTest entry
// `callers` runs these tests, one at a time and beside no other test.

#include <boost/test/unit_test.hpp>

#include "support/caller_crowd.hpp"
#include "support/relay_process.hpp"

using namespace cyclamen;

namespace {

constexpr int status_ok = 200;
constexpr long max_peak_mib = 48;
constexpr std::size_t max_descriptors = 1024;

/// Descriptor limit of the tests that open more connections than that.
constexpr int few_descriptors = 128;

void check_survival(test::relay_process& process, std::size_t descriptors = max_descriptors)
{
    BOOST_TEST(process.is_alive());
    BOOST_TEST_MESSAGE("peak above idle: " << process.peak_above_idle_mib()
                                           << " MiB, open descriptors: "
                                           << process.open_descriptors());
    BOOST_TEST(process.peak_above_idle_mib() < max_peak_mib);
    BOOST_TEST(process.open_descriptors() < descriptors);
    BOOST_TEST(process.ordinary_status() == status_ok);
    BOOST_TEST(process.is_alive());
}

/// @return a plan that sends the same text again and again
test::crowd_plan repeat(const std::string& text)
{
    return test::crowd_plan{.next = [text](std::size_t, std::size_t) { return text; }};
}

/// A proper request with an id of its own.
std::string proper_request(std::string_view kind, std::size_t caller, std::size_t part)
{
    return core::concat("GET /r/x HTTP/1.1\r\nhost: soak.example\r\napi-key: soak-key\r\n",
                        "x-cyclamencourse-request-id: ", kind, "-", caller, "-", part,
                        "\r\nx-cyclamencourse-deadline-ms: 1500\r\n\r\n");
}

} // namespace

BOOST_AUTO_TEST_SUITE(outside_limits, *boost::unit_test::label("callers"))

BOOST_AUTO_TEST_CASE(requests_ahead_without_the_usual_headers)
{
    test::relay_process process;
    test::caller_crowd crowd;
    crowd.send(process.at.entry, repeat("GET /r/x HTTP/1.1\r\nhost: soak.example\r\n\r\n"));
    check_survival(process);
}

BOOST_AUTO_TEST_CASE(requests_ahead_at_the_ready_path)
{
    test::relay_process process;
    test::caller_crowd crowd;
    crowd.send(process.at.ready, repeat("GET /readyz HTTP/1.1\r\nhost: x\r\n\r\n"));
    check_survival(process);
    BOOST_TEST(process.get_status(process.at.ready, "/readyz") == status_ok);
}

BOOST_AUTO_TEST_CASE(requests_ahead_at_paths_without_a_route)
{
    test::relay_process process;
    test::caller_crowd crowd;
    crowd.send(process.at.entry, repeat("GET /nowhere HTTP/1.1\r\nhost: soak.example\r\n"
                                        "x-cyclamencourse-request-id: n\r\n\r\n"));
    check_survival(process);
}

BOOST_AUTO_TEST_CASE(requests_ahead_without_a_host)
{
    test::relay_process process;
    test::caller_crowd crowd;
    crowd.send(process.at.entry, repeat("GET /r/x HTTP/1.1\r\n\r\n"));
    check_survival(process);
}

BOOST_AUTO_TEST_CASE(requests_ahead_that_cost_work)
{
    test::relay_process process;
    test::caller_crowd crowd;
    crowd.send(process.at.entry,
               {.bytes_per_caller = 256 * 1024, .next = [](std::size_t caller, std::size_t part) {
                    return proper_request("ahead", caller, part);
                }});
    check_survival(process);
}

BOOST_AUTO_TEST_CASE(heads_sent_byte_by_byte)
{
    test::relay_process process;
    test::caller_crowd crowd;
    crowd.send(process.at.entry, {.bytes_per_caller = 12 * 1024,
                                  .bytes_per_write = 1,
                                  .opening = "GET /r/x HTTP/1.1\r\nx-long: ",
                                  .next = [](std::size_t, std::size_t) { return "a"; }});
    check_survival(process);
}

BOOST_AUTO_TEST_CASE(bodies_with_a_length_that_never_end)
{
    test::relay_process process;
    test::caller_crowd crowd;
    crowd.send(process.at.entry,
               {.bytes_per_caller = 3'900'000,
                .opening = "POST /u/x HTTP/1.1\r\nhost: soak.example\r\n"
                           "content-length: 4000000\r\n\r\n",
                .next = [](std::size_t, std::size_t) { return std::string(4096, 'b'); }});
    check_survival(process);
}

BOOST_AUTO_TEST_CASE(bodies_in_chunks_that_never_end)
{
    test::relay_process process;
    test::caller_crowd crowd;
    crowd.send(process.at.entry, {.bytes_per_caller = 3'900'000,
                                  .opening = "POST /u/x HTTP/1.1\r\nhost: soak.example\r\n"
                                             "transfer-encoding: chunked\r\n\r\n",
                                  .next = [](std::size_t, std::size_t) {
                                      return "1000\r\n" + std::string(0x1000, 'b') + "\r\n";
                                  }});
    check_survival(process);
}

BOOST_AUTO_TEST_CASE(more_connections_than_descriptors)
{
    test::relay_process process{{.descriptors = few_descriptors}};
    test::caller_crowd crowd;
    crowd.send(process.at.entry, {.callers = 200});
    check_survival(process, few_descriptors);
}

BOOST_AUTO_TEST_CASE(more_connections_than_descriptors_at_the_ready_listener)
{
    test::relay_process process{{.descriptors = few_descriptors}};
    test::caller_crowd crowd;
    crowd.send(process.at.ready, {.callers = 200});
    check_survival(process, few_descriptors);
    BOOST_TEST(process.get_status(process.at.ready, "/readyz") == status_ok);
}

BOOST_AUTO_TEST_CASE(connections_left_after_a_request)
{
    test::relay_process process{{.descriptors = few_descriptors}};
    test::caller_crowd crowd;
    crowd.send(process.at.entry,
               {.callers = 200, .opening = "GET /r/x HTTP/1.1\r\nhost: soak.example\r\n\r\n"});
    check_survival(process, few_descriptors);
}

BOOST_AUTO_TEST_CASE(streams_whose_answers_are_not_read)
{
    test::relay_process process;
    test::caller_crowd crowd;
    crowd.send(process.at.entry,
               {.bytes_per_caller = 64 * 1024, .next = [](std::size_t caller, std::size_t part) {
                    return core::concat(
                        "POST /s/x HTTP/1.1\r\nhost: soak.example\r\napi-key: soak-key\r\n",
                        "x-cyclamencourse-request-id: s-", caller, "-", part,
                        "\r\nx-cyclamencourse-deadline-ms: 5000\r\nx-cyclamencourse-model: m\r\n",
                        "x-cyclamencourse-token-counts: 100,3000\r\n",
                        "x-cyclamencourse-prompt-prefix: part-", caller,
                        ":100\r\ncontent-length: 4\r\n\r\nbody");
                }});
    check_survival(process);
}

BOOST_AUTO_TEST_CASE(requests_ahead_at_the_metrics_listener)
{
    test::relay_process process;
    test::caller_crowd crowd;
    crowd.send(process.at.metrics, repeat("GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n"));
    check_survival(process);
    BOOST_TEST(process.get_status(process.at.metrics, "/metrics") == status_ok);
}

BOOST_AUTO_TEST_CASE(requests_ahead_at_the_directory_listener)
{
    test::relay_process process;
    test::caller_crowd crowd;
    crowd.send(process.at.directory, repeat("GET /directory HTTP/1.1\r\nhost: x\r\n\r\n"));
    check_survival(process);
    BOOST_TEST(process.get_status(process.at.directory, "/directory") == status_ok);
}

BOOST_AUTO_TEST_CASE(requests_ahead_at_the_listener_of_instances)
{
    test::relay_process process;
    test::caller_crowd crowd;
    crowd.send(process.at.feed, repeat("GET /nothing HTTP/1.1\r\nhost: x\r\n\r\n"));
    check_survival(process);
    BOOST_TEST(process.get_status(process.at.feed, "/nothing") > 0);
}

BOOST_AUTO_TEST_CASE(bodies_that_never_end_at_the_listener_of_instances)
{
    test::relay_process process;
    test::caller_crowd crowd;
    crowd.send(process.at.feed,
               {.bytes_per_caller = 3'900'000,
                .opening = "POST /nothing HTTP/1.1\r\nhost: x\r\ncontent-length: 4000000\r\n\r\n",
                .next = [](std::size_t, std::size_t) { return std::string(4096, 'b'); }});
    check_survival(process);
    BOOST_TEST(process.get_status(process.at.feed, "/nothing") > 0);
}

BOOST_AUTO_TEST_SUITE_END()
