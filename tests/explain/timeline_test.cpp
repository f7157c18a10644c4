#include "explain/timeline.hpp"

#include <sstream>

#include <boost/test/unit_test.hpp>

#include "explain/log_line.hpp"

using namespace cyclamen;

namespace {

explain::log_text log(const std::string& source, const std::string& text)
{
    std::istringstream input{text};
    return explain::read_log(source, input);
}

} // namespace

BOOST_AUTO_TEST_CASE(log_line_with_quoted_values_and_a_machine_prefix_is_parsed)
{
    const auto line = explain::parse_log_line(
        R"(  20.01 edge-1 time=2026-05-04T08:13:25.1 level=info event=attempt_lost request=r1 )"
        R"(detail="connection \"reset\"; a=b" empty="")");
    BOOST_REQUIRE(line.has_value());
    BOOST_TEST(line->event == "attempt_lost");
    BOOST_TEST(line->time == "2026-05-04T08:13:25.1");
    BOOST_TEST(line->find("detail") == "connection \"reset\"; a=b");
    BOOST_TEST(line->find("request") == "r1");
    BOOST_TEST(line->find("level") == "info");
    BOOST_TEST(line->find("absent").empty());
    for (const char* malformed : {"", "time=", "no line", "time=1 event", "time=1 event=\"x"}) {
        BOOST_TEST(!explain::parse_log_line(malformed).has_value());
    }
}

BOOST_AUTO_TEST_CASE(timeline_merges_logs_in_the_order_of_time)
{
    const auto timeline = explain::build_timeline(
        "r1",
        {log("b.log", "time=3 level=info event=attempt_opened request=r1 target=t2 standby=none\n"
                      "time=5 level=info event=request_ended request=r1 outcome=finished\n"),
         log("a.log", "time=1 level=info event=attempt_opened request=r1 target=t1 standby=t2\n"
                      "time=2 level=info event=attempt_opened request=r2 target=t1\n"
                      "time=2 level=info event=instance_leaving open_requests=1\n"),
         log("c.log", "time=4 level=info event=instance_leaving open_requests=1\n")});
    BOOST_REQUIRE(timeline.size() == 3U);
    BOOST_TEST(timeline[0].source == "a.log");
    BOOST_TEST(timeline[1].source == "b.log");
    BOOST_TEST(timeline[2].text.find("outcome=finished") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(timeline_includes_events_of_the_requests_targets_and_of_the_store)
{
    const auto timeline = explain::build_timeline(
        "r1",
        {log("a.log", "time=1 level=info event=target_listed target=t2 leaving=false\n"
                      "time=1 level=info event=target_listed target=t9 leaving=false\n"
                      "time=2 level=info event=attempt_opened request=r1 target=t1 standby=t2\n"
                      "time=3 level=info event=target_forgotten target=t2 reason=gone\n"
                      "time=4 level=warning event=store_lost table=op\n"
                      "time=5 level=info event=attempt_lost request=r1 target=t1 copy_at=none\n"
                      "time=6 level=info event=target_forgotten target=t1 reason=gone\n")});
    BOOST_REQUIRE(timeline.size() == 5U);
    BOOST_TEST(timeline[0].text.find("target_listed target=t2") != std::string::npos);
    BOOST_TEST(timeline[2].text.find("target_forgotten") != std::string::npos);
    BOOST_TEST(timeline[3].text.find("store_lost") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(timeline_of_an_unknown_request_is_empty)
{
    BOOST_TEST(explain::build_timeline("r1", {log("a.log", "time=1 event=store_lost table=op\n")})
                   .empty());
}

// Guards against lines that a request's end is not explained by, though they have its time.
BOOST_AUTO_TEST_CASE(timeline_ends_with_the_requests_last_line_in_each_log)
{
    const auto timeline = explain::build_timeline(
        "r1", {log("a.log", "time=1 level=info event=attempt_opened request=r1 target=t1\n"
                            "time=2 level=info event=request_ended request=r1 outcome=failed\n"
                            "time=2 level=info event=target_checked target=t1 result=refused\n")});
    BOOST_REQUIRE(timeline.size() == 2U);
    BOOST_TEST(timeline.back().text.find("outcome=failed") != std::string::npos);
}
