#include <boost/test/unit_test.hpp>

#include <rapidcheck/boost_test.h>

#include "relay/world.hpp"

using namespace cyclamen;
using namespace std::chrono_literals;
using test::relay_world;

namespace {

/// What may have run of one request, as targets see it.
struct target_view {
    std::set<std::uint64_t> may_have_run;
};

/// Lets something happen to the attempt that was opened last.
void disturb(relay_world& world, std::uint8_t what, target_view& seen)
{
    const auto* opened = relay_world::find_last<relay::open_attempt>(world.to_targets);
    if (opened == nullptr) {
        world.pass(30ms);
        return;
    }
    const relay::attempt_id attempt = opened->attempt;
    const std::uint64_t number = attempt.number.value();
    switch (what % 9) {
    case 0:
        seen.may_have_run.erase(number);
        world.handle(relay::attempt_rejected{attempt, 503, false});
        break;
    case 1:
        seen.may_have_run.erase(number);
        world.handle(relay::attempt_rejected{attempt, 421, true});
        break;
    case 2:
        world.handle(relay::attempt_lost{attempt, true, "reset"});
        break;
    case 3:
        seen.may_have_run.erase(number);
        world.handle(relay::attempt_lost{attempt, false, "refused"});
        break;
    case 4:
        world.handle(relay::attempt_answered{attempt, relay::answer_head{500, {}}, ""});
        break;
    case 5:
        world.handle(relay::attempt_answered{attempt, relay::answer_head{200, {}}, ""});
        break;
    case 6:
        world.stream_to(static_cast<int>(what));
        break;
    case 7:
        world.pass(150ms);
        break;
    default:
        world.pass(4s);
        break;
    }
}

void run(relay::request_kind kind, const std::vector<std::uint8_t>& events)
{
    relay_world world{kind};
    world.list_targets(9);
    world.submit(1);
    target_view seen;
    std::size_t opened = 0;
    for (const std::uint8_t each : events) {
        while (opened < relay_world::count<relay::open_attempt>(world.to_targets)) {
            seen.may_have_run.insert(++opened);
        }
        if (world.open_requests() == 0) {
            break;
        }
        disturb(world, each, seen);
    }
    while (opened < relay_world::count<relay::open_attempt>(world.to_targets)) {
        seen.may_have_run.insert(++opened);
    }
    if (kind == relay::request_kind::unsafe) {
        RC_ASSERT(seen.may_have_run.size() <= 1U);
    }
    const auto* refused = relay_world::find_last<relay::answer_refused>(world.to_entries);
    if (refused != nullptr && refused->reason.not_run) {
        RC_ASSERT(seen.may_have_run.empty());
    }
    // A caller hears one end at the most, and no end of a stream that was cut.
    const std::size_t ends = relay_world::count<relay::answer_finished>(world.to_entries) +
                             relay_world::count<relay::answer_whole>(world.to_entries) +
                             relay_world::count<relay::answer_refused>(world.to_entries) +
                             relay_world::count<relay::answer_cut>(world.to_entries);
    RC_ASSERT(ends == (world.open_requests() == 0 ? 1U : 0U));
    RC_ASSERT(relay_world::count<relay::answer_begun>(world.to_entries) <= 1U);
}

} // namespace

RC_BOOST_PROP(an_unsafe_request_runs_once_and_is_refused_truly,
              (const std::vector<std::uint8_t>& events))
{
    run(relay::request_kind::unsafe, events);
}

RC_BOOST_PROP(a_safe_request_is_refused_truly, (const std::vector<std::uint8_t>& events))
{
    run(relay::request_kind::safe, events);
}

RC_BOOST_PROP(a_stream_begins_once_and_ends_once, (const std::vector<std::uint8_t>& events))
{
    run(relay::request_kind::streaming, events);
}
