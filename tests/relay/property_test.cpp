#include <boost/test/unit_test.hpp>

#include <rapidcheck/boost_test.h>

#include "relay/test_fixture.hpp"

using namespace cyclamen;
using namespace std::chrono_literals;
using test::relay_fixture;

namespace {

/// The attempts of one request that its targets may have run.
struct target_view {
    std::set<std::uint64_t> may_have_run;
};

/// Applies one of nine events, picked by `choice`, to the last attempt.
void inject_event(relay_fixture& fixture, std::uint8_t choice, target_view& view)
{
    const auto* opened = relay_fixture::find_last<relay::open_attempt>(fixture.to_targets);
    if (opened == nullptr) {
        fixture.advance(30ms);
        return;
    }
    const relay::attempt_id attempt = opened->attempt;
    const std::uint64_t number = attempt.number.value();
    switch (choice % 9) {
    case 0:
        view.may_have_run.erase(number);
        fixture.handle(relay::attempt_rejected{attempt, 503, false});
        break;
    case 1:
        view.may_have_run.erase(number);
        fixture.handle(relay::attempt_rejected{attempt, 421, true});
        break;
    case 2:
        fixture.handle(relay::attempt_lost{attempt, true, "reset"});
        break;
    case 3:
        view.may_have_run.erase(number);
        fixture.handle(relay::attempt_lost{attempt, false, "refused"});
        break;
    case 4:
        fixture.handle(relay::attempt_answered{attempt, relay::answer_head{500, {}}, ""});
        break;
    case 5:
        fixture.handle(relay::attempt_answered{attempt, relay::answer_head{200, {}}, ""});
        break;
    case 6:
        fixture.stream_to(static_cast<int>(choice));
        break;
    case 7:
        fixture.advance(150ms);
        break;
    default:
        fixture.advance(4s);
        break;
    }
}

void run(relay::request_kind kind, const std::vector<std::uint8_t>& events)
{
    relay_fixture fixture{kind};
    fixture.list_targets(9);
    fixture.submit(1);
    target_view view;
    std::size_t opened = 0;
    for (const std::uint8_t choice : events) {
        while (opened < relay_fixture::count<relay::open_attempt>(fixture.to_targets)) {
            view.may_have_run.insert(++opened);
        }
        if (fixture.open_requests() == 0) {
            break;
        }
        inject_event(fixture, choice, view);
    }
    while (opened < relay_fixture::count<relay::open_attempt>(fixture.to_targets)) {
        view.may_have_run.insert(++opened);
    }
    if (kind == relay::request_kind::unsafe) {
        RC_ASSERT(view.may_have_run.size() <= 1U);
    }
    const auto* refused = relay_fixture::find_last<relay::answer_refused>(fixture.to_entries);
    if (refused != nullptr && refused->reason.not_run) {
        RC_ASSERT(view.may_have_run.empty());
    }
    // A caller gets exactly one final message once its request is closed, and none before.
    const std::size_t ends = relay_fixture::count<relay::answer_finished>(fixture.to_entries) +
                             relay_fixture::count<relay::complete_answer>(fixture.to_entries) +
                             relay_fixture::count<relay::answer_refused>(fixture.to_entries) +
                             relay_fixture::count<relay::answer_cut>(fixture.to_entries);
    RC_ASSERT(ends == (fixture.open_requests() == 0 ? 1U : 0U));
    RC_ASSERT(relay_fixture::count<relay::answer_begun>(fixture.to_entries) <= 1U);
}

} // namespace

RC_BOOST_PROP(unsafe_request_runs_at_most_once_and_not_run_is_never_false,
              (const std::vector<std::uint8_t>& events))
{
    run(relay::request_kind::unsafe, events);
}

RC_BOOST_PROP(safe_request_reported_as_not_run_was_not_run,
              (const std::vector<std::uint8_t>& events))
{
    run(relay::request_kind::safe, events);
}

RC_BOOST_PROP(stream_begins_at_most_once_and_ends_once, (const std::vector<std::uint8_t>& events))
{
    run(relay::request_kind::streaming, events);
}
