#include "call/call_chart.hpp"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <sstream>

#include <boost/test/unit_test.hpp>

#include "chart/explorer.hpp"
#include "chart/library.hpp"
#include "chart/loader.hpp"

using namespace cyclamen;
using call::call_action;
using call::call_event;
using call::call_guard;

namespace {

constexpr chart::fact_bits may_have_been_sent = 1;
constexpr chart::fact_bits is_safe = 2;
constexpr chart::fact_bits is_keyed = 4;
constexpr chart::fact_bits holds_claim = 8;
constexpr chart::fact_bits attempt_open = 16;
constexpr chart::fact_bits was_sent = 32;
constexpr chart::fact_bits caller_answered = 64;

template <class Name>
bool is(chart::symbol symbol, Name name)
{
    return symbol == static_cast<chart::symbol>(name);
}

/// Models a call with its store, target and caller, and checks the invariants of the chart: no
/// refusal after a possible send, no second send of an unsafe call, no keyed send without a claim,
/// no release of the claim after a possible send, at most one answer to the caller.
class call_model final : public chart::exploration_model {
  public:
    call_model(const chart::chart& definition, chart::fact_bits start)
        : dispatched_{*definition.find("dispatched")}, start_{start}
    {
    }

    [[nodiscard]] chart::fact_bits initial_facts() const override { return start_; }

    [[nodiscard]] bool may_occur(chart::symbol event, chart::state_index /*state*/,
                                 chart::fact_bits facts) const override
    {
        const bool needs_attempt =
            is(event, call_event::attempt_sent) || is(event, call_event::attempt_not_sent) ||
            is(event, call_event::attempt_lost) || is(event, call_event::answer_received);
        const bool needs_claim =
            is(event, call_event::claim_written) || is(event, call_event::claim_in_doubt) ||
            is(event, call_event::claim_not_written) || is(event, call_event::row_found) ||
            is(event, call_event::row_absent);
        return (!needs_attempt || (facts & attempt_open) != 0) &&
               (!needs_claim || (facts & is_keyed) != 0);
    }

    [[nodiscard]] std::vector<bool> possible_answers(chart::symbol guard,
                                                     chart::fact_bits facts) const override
    {
        if (is(guard, call_guard::keyed)) {
            return {(facts & is_keyed) != 0};
        }
        if (is(guard, call_guard::may_have_run) && (facts & may_have_been_sent) != 0) {
            return {true};
        }
        if (is(guard, call_guard::may_repeat) && (facts & is_safe) == 0) {
            return {false};
        }
        return {true, false};
    }

    [[nodiscard]] chart::fact_bits after_event(chart::symbol event,
                                               chart::fact_bits facts) const override
    {
        if (is(event, call_event::claim_written)) {
            return facts | holds_claim;
        }
        if (is(event, call_event::attempt_sent)) {
            return facts | was_sent;
        }
        if (is(event, call_event::attempt_not_sent)) {
            const chart::fact_bits open = facts & ~attempt_open;
            return (facts & was_sent) != 0 ? open : open & ~may_have_been_sent;
        }
        if (is(event, call_event::attempt_lost) || is(event, call_event::answer_received)) {
            return (facts & ~attempt_open) | was_sent;
        }
        return facts;
    }

    [[nodiscard]] chart::fact_bits after_answer(const chart::guard_answer& answer,
                                                chart::fact_bits facts) const override
    {
        const bool own = is(answer.first, call_guard::own_claim) && answer.second;
        return own ? facts | holds_claim : facts;
    }

    [[nodiscard]] chart::fact_bits after_action(chart::symbol action,
                                                chart::fact_bits facts) const override
    {
        if (is(action, call_action::offer)) {
            return facts | may_have_been_sent | attempt_open;
        }
        if (is(action, call_action::cancel_attempt)) {
            return facts & ~attempt_open;
        }
        if (is(action, call_action::release_claim)) {
            return facts & ~holds_claim;
        }
        return answers_caller(action) ? facts | caller_answered : facts;
    }

    [[nodiscard]] std::vector<std::string>
    violations_of(const chart::explored_step& step) const override
    {
        std::vector<std::string> violations;
        const bool unsafe = (step.before & is_safe) == 0;
        bool answered = (step.before & caller_answered) != 0;
        for (const chart::symbol action : step.result.actions) {
            if (refuses(action) && (step.after & may_have_been_sent) != 0) {
                violations.emplace_back(
                    "a refusal reports not run after the call may have been sent");
            }
            if (is(action, call_action::offer) && unsafe &&
                (step.before & (may_have_been_sent | was_sent)) != 0) {
                violations.emplace_back("an unsafe call is sent again after it may have been sent");
            }
            if (is(action, call_action::offer) && (step.before & is_keyed) != 0 &&
                (step.before & holds_claim) == 0) {
                violations.emplace_back("a keyed call is sent without a claim");
            }
            if (is(action, call_action::release_claim) && (step.after & may_have_been_sent) != 0) {
                violations.emplace_back("a claim is released after the call may have been sent");
            }
            if (answers_caller(action) && answered) {
                violations.emplace_back("a caller is answered twice");
            }
            answered = answered || answers_caller(action);
        }
        if (step.result.state == dispatched_ && step.from != dispatched_ && unsafe &&
            (step.before & was_sent) != 0) {
            violations.emplace_back("an unsafe call is dispatched twice");
        }
        return violations;
    }

  private:
    const chart::state_index dispatched_;
    const chart::fact_bits start_;

    static bool refuses(chart::symbol action)
    {
        return is(action, call_action::refuse_store) || is(action, call_action::refuse_no_target) ||
               is(action, call_action::refuse_other_body);
    }

    static bool answers_caller(chart::symbol action)
    {
        return refuses(action) || is(action, call_action::say_unknown) ||
               is(action, call_action::deliver_answer) || is(action, call_action::answer_from_row);
    }
};

std::vector<chart::violation> find_violations(const chart::chart& definition)
{
    std::vector<chart::violation> violations;
    for (const chart::fact_bits start : {chart::fact_bits{0}, is_safe, is_keyed}) {
        const chart::exploration found = chart::explore(definition, call_model{definition, start});
        BOOST_TEST(found.is_complete);
        BOOST_TEST_MESSAGE(found.situations << " situations, " << found.steps << " steps");
        std::copy(found.violations.begin(), found.violations.end(), std::back_inserter(violations));
    }
    return violations;
}

/// @return the chart `call` with the first occurrence of a text replaced
std::shared_ptr<const chart::chart> load_modified_chart(const std::string& from,
                                                        const std::string& to)
{
    std::ifstream input{CYCLAMENCOURSE_SOURCE_DIR "/charts/call.json"};
    std::ostringstream text;
    text << input.rdbuf();
    std::string changed = text.str();
    const std::size_t place = changed.find(from);
    BOOST_REQUIRE(place != std::string::npos);
    changed.replace(place, from.size(), to);
    const auto loaded = chart::load(changed, "call.json", call::call_vocabulary());
    BOOST_REQUIRE_MESSAGE(loaded.ok(), std::string{loaded.status().message()});
    return *loaded;
}

} // namespace

BOOST_AUTO_TEST_CASE(the_chart_keeps_its_invariants_in_every_event_order)
{
    const auto definition = chart::library::embedded().load("call", call::call_vocabulary());
    BOOST_REQUIRE(definition.ok());
    for (const chart::violation& each : find_violations(**definition)) {
        BOOST_ERROR(each.problem);
        for (const std::string& step : each.trace) {
            BOOST_TEST_MESSAGE("  " << step);
        }
    }
}

BOOST_AUTO_TEST_CASE(the_model_detects_broken_charts)
{
    const auto expect_violation = [](const std::string& from, const std::string& to) {
        BOOST_TEST(!find_violations(*load_modified_chart(from, to)).empty(), from);
    };
    // A refusal after the call was sent.
    expect_violation(
        R"("answer_overdue": [{"target": "unknown", "actions": ["record_unknown", "say_unknown"]}])",
        R"("answer_overdue": [{"target": "refused", "actions": ["refuse_no_target"]}])");
    // A second send of an unsafe call.
    expect_violation(R"({"guard": "may_repeat", "target": "claimed"})",
                     R"({"guard": "attempts_left", "target": "claimed"})");
    // A send without a claim.
    expect_violation(
        R"("claim_in_doubt": [{"target": "doubtful"}])",
        R"("claim_in_doubt": [{"target": "claimed"}], "row_absent": [{"target": "doubtful"}])");
    // A claim that is released although the call may still run.
    expect_violation(
        R"("late_overdue": [{"target": "expired", "actions": ["cancel_attempt"]}])",
        R"("late_overdue": [{"target": "expired", "actions": ["cancel_attempt", "release_claim"]}])");
    // Two answers to one caller.
    expect_violation(
        R"("answer_received": [{"target": "answered", "actions": ["record_answer"]}])",
        R"("answer_received": [{"target": "answered", "actions": ["record_answer", "deliver_answer"]}])");
}
