#include "soak/verdict.hpp"

#include <optional>

#include <boost/test/unit_test.hpp>

#include "core/text.hpp"
#include "relay/crash_evidence.hpp"
#include "relay/route_table.hpp"

using namespace cyclamen;
using namespace std::chrono_literals;
using soak::call_kind;
using soak::call_record;
using standin::runner_report;

namespace {

constexpr core::instant start{};

struct call_values {
    call_kind kind = call_kind::unsafe;
    int status = 200;
    std::string body = standin::answer_content("r1", 0);
    bool complete = true;
    bool abandoned = false;
    std::uint64_t last_event = 0;
    std::uint64_t revision = 1;
    core::duration ended_at = 100ms;
    std::string seal = "s";
    std::string answer_id = "r1";
};

call_record call(const call_values& values)
{
    return call_record{"r1",
                       values.kind,
                       "r1",
                       0,
                       1,
                       values.revision,
                       values.last_event,
                       start,
                       start + values.ended_at,
                       values.status,
                       values.answer_id,
                       values.seal,
                       values.body,
                       values.complete,
                       values.abandoned};
}

/// A call that the system has refused since requests like it crash runners.
call_record quarantined_call(const std::string& deadly_trait)
{
    const call_record plain = call({.status = 503, .answer_id = {}});
    return call_record{plain.id,
                       plain.kind,
                       plain.seed,
                       plain.instance,
                       plain.process,
                       plain.revision,
                       plain.last_event,
                       plain.sent_at,
                       plain.ended_at,
                       plain.status,
                       plain.answer_id,
                       plain.seal,
                       std::string{relay::quarantine_problem},
                       plain.complete,
                       plain.abandoned,
                       deadly_trait};
}

runner_report report(runner_report::event kind, core::duration at, bool from_copy = false)
{
    return runner_report{kind, "runner-0", "r1", "/u/x", "soaker", from_copy, 0, start + at};
}

std::size_t count(const std::vector<call_record>& calls, const std::vector<runner_report>& reports,
                  const std::vector<soak::disturbance>& disturbances = {})
{
    return soak::find_violations(soak::observations{calls, reports, disturbances}, {}).size();
}

std::string events(std::uint64_t first, std::uint64_t last)
{
    std::string text;
    for (std::uint64_t i = first; i <= last; ++i) {
        core::append(text, "id: ", i, "\ndata: ", standin::answer_content("r1", i), "\n\n");
    }
    return text;
}

} // namespace

BOOST_AUTO_TEST_CASE(correct_call_has_no_violation)
{
    BOOST_TEST(count({call({})}, {report(runner_report::event::began, 10ms),
                                  report(runner_report::event::ended, 50ms)}) == 0U);
}

BOOST_AUTO_TEST_CASE(wrong_mixed_and_unsigned_answers_are_detected)
{
    BOOST_TEST(count({call({.body = "other"})}, {}) == 1U);
    BOOST_TEST(count({call({.seal = ""})}, {}) == 1U);
    BOOST_TEST(count({call({.answer_id = "r2"})}, {}) == 1U);
}

BOOST_AUTO_TEST_CASE(stream_must_be_in_order_and_complete)
{
    const auto stream = [](const std::string& body, bool complete, std::uint64_t last_event = 0) {
        return call({.kind = call_kind::stream,
                     .body = body,
                     .complete = complete,
                     .last_event = last_event});
    };
    BOOST_TEST(count({stream(events(1, 60), true)}, {}) == 0U);
    BOOST_TEST(count({stream(events(1, 20), false)}, {}) == 0U);
    BOOST_TEST(count({stream(events(21, 60), true, 20)}, {}) == 0U);
    BOOST_TEST(count({stream(events(1, 20), true)}, {}) == 1U);
    BOOST_TEST(count({stream(events(1, 5) + events(5, 9), false)}, {}) == 1U);
    BOOST_TEST(count({stream(events(1, 5) + events(7, 9), false)}, {}) == 1U);
}

BOOST_AUTO_TEST_CASE(second_run_and_false_rejection_are_detected)
{
    const auto began = report(runner_report::event::began, 10ms);
    const auto ended = report(runner_report::event::ended, 20ms);
    BOOST_TEST(count({call({})}, {began, ended, began, ended}) == 1U);
    BOOST_TEST(count({call({.status = 503})}, {began, ended}) == 1U);
    BOOST_TEST(count({call({.status = 502})}, {began, ended}) == 0U);
    BOOST_TEST(count({call({.status = 503})}, {}) == 0U);
}

BOOST_AUTO_TEST_CASE(run_must_end_soon_after_its_caller_abandons_it)
{
    const auto began = report(runner_report::event::began, 10ms);
    const std::vector<call_record> abandoned{
        call({.status = 0, .complete = false, .abandoned = true})};
    BOOST_TEST(count(abandoned, {began, report(runner_report::event::disconnected, 300ms)}) == 0U);
    BOOST_TEST(count(abandoned, {began, report(runner_report::event::disconnected, 700ms)}) == 1U);
    BOOST_TEST(count(abandoned, {began}, {soak::disturbance{start, start + 50ms}}) == 0U);
}

BOOST_AUTO_TEST_CASE(leaving_runner_must_get_no_request_after_the_drain_limit)
{
    const auto leaving = report(runner_report::event::leaving, 0ms);
    BOOST_TEST(count({}, {leaving, report(runner_report::event::began, 1900ms)}) == 0U);
    BOOST_TEST(count({}, {leaving, report(runner_report::event::began, 2100ms)}) == 1U);
}

BOOST_AUTO_TEST_CASE(process_must_not_revert_to_an_older_revision)
{
    const auto probe = [](std::uint64_t revision, int status, core::duration ended_at,
                          std::string body = {}) {
        call_record template_call = call({.kind = call_kind::probe,
                                          .status = status,
                                          .revision = revision,
                                          .ended_at = ended_at});
        return call_record{
            template_call.id,         template_call.kind,      template_call.seed,
            template_call.instance,   template_call.process,   template_call.revision,
            template_call.last_event, start + ended_at - 10ms, template_call.ended_at,
            template_call.status,     template_call.answer_id, template_call.seal,
            std::move(body),          template_call.complete,  template_call.abandoned};
    };
    // A process that has just started serves no route yet; a refusal for another reason shows that
    // it knew the route.
    const std::string unconfigured{relay::unconfigured_problem};
    BOOST_TEST(count({probe(2, 503, 50ms, unconfigured), probe(2, 404, 100ms)}, {}) == 0U);
    BOOST_TEST(count({probe(2, 503, 50ms), probe(2, 404, 100ms)}, {}) == 1U);
    BOOST_TEST(count({probe(2, 404, 50ms), probe(2, 200, 100ms)}, {}) == 0U);
    BOOST_TEST(count({probe(2, 200, 100ms), probe(3, 404, 200ms)}, {}) == 0U);
    BOOST_TEST(count({probe(2, 200, 100ms), probe(2, 404, 200ms)}, {}) == 1U);
    BOOST_TEST(count({probe(2, 200, 100ms), probe(1, 404, 200ms)}, {}) == 1U);
}

BOOST_AUTO_TEST_CASE(only_deadly_requests_may_be_quarantined)
{
    BOOST_TEST(count({quarantined_call("")}, {}) == 1U);
    BOOST_TEST(count({quarantined_call("fatal")}, {}) == 0U);
}

BOOST_AUTO_TEST_CASE(deadly_requests_must_stop_crashing_runners)
{
    std::vector<runner_report> crashes;
    for (int i = 0; i < 5; ++i) {
        crashes.push_back(report(runner_report::event::crashed, i * 100ms));
    }
    for (int i = 0; i < 4; ++i) {
        BOOST_TEST(count({quarantined_call("fatal")}, crashes) == 0U);
        crashes.push_back(report(runner_report::event::crashed, 4s + i * 100ms));
    }
    BOOST_TEST(count({quarantined_call("fatal")}, crashes) == 1U);
    // A disturbance excuses it.
    BOOST_TEST(count({quarantined_call("fatal")}, crashes, {{start + 3s, start + 3100ms}}) == 0U);
}

BOOST_AUTO_TEST_CASE(a_second_run_beside_the_first_is_detected)
{
    const auto at_other = [](runner_report::event kind, core::duration at) {
        return runner_report{kind, "runner-1", "r1", "/s/x", "soaker", false, 3, start + at};
    };
    using enum runner_report::event;
    const std::vector<runner_report> twice{report(began, 10ms), at_other(began, 400ms),
                                           report(disconnected, 900ms), at_other(ended, 1200ms)};
    const std::vector<runner_report> in_turn{report(began, 10ms), at_other(began, 400ms),
                                             report(disconnected, 700ms), at_other(ended, 1200ms)};
    const call_record stream =
        call({.kind = call_kind::stream, .body = events(1, 60), .ended_at = 2s});
    BOOST_TEST(count({stream}, twice) == 1U);
    BOOST_TEST(count({stream}, twice, {soak::disturbance{start + 300ms, start + 500ms}}) == 0U);
    BOOST_TEST(count({stream}, in_turn) == 0U);
    // A pause excuses the first run only if it began as the runner was to hear of the end.
    const auto count_with_pause = [&](core::duration from) {
        const soak::runner_pause pause{"runner-0", start + from, start + 900ms};
        return soak::find_violations({{stream}, twice, {}, {pause}}, {}).size();
    };
    BOOST_TEST(count_with_pause(401ms) == 0U);
    BOOST_TEST(count_with_pause(100ms) == 1U);
}

BOOST_AUTO_TEST_CASE(a_stream_that_is_cut_is_detected_where_all_must_end_whole)
{
    const call_record cut =
        call({.kind = call_kind::stream, .body = events(1, 20), .complete = false});
    const soak::observations observed{{cut}, {}, {}};
    BOOST_TEST(soak::find_violations(observed, {.completes_streams = true}).size() == 1U);
    BOOST_TEST(soak::find_violations(observed, {}).empty());
}
