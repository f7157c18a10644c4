#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "chart/explorer.hpp"
#include "chart/loader.hpp"
#include "generation/generation_chart.hpp"

using namespace cyclamen;
using generation::generation_action;
using generation::generation_event;
using generation::generation_guard;

namespace {

/// State of the generation that the chart's state doesn't show.
enum fact : chart::fact_bits {
    attempt_open = 1,
    engine_finished = 2,
    known_complete = 4,
    over = 8,
    answered = 16,
    in_search = 32,
    released = 64,
};

bool is_symbol(chart::symbol symbol, auto name)
{
    return symbol == static_cast<chart::symbol>(name);
}

/// Explores all orders of events and checks the rules for callers and attempts at each step.
class generation_model final : public chart::exploration_model {
  public:
    explicit generation_model(const chart::chart& loaded) : chart_{loaded} {}

    /// A restored answer is complete: its journal holds all tokens before the event is raised.
    [[nodiscard]] chart::fact_bits after_event(chart::symbol event,
                                               chart::fact_bits facts) const override
    {
        return is_symbol(event, generation_event::answer_restored) && (facts & attempt_open) == 0
                   ? facts | known_complete
                   : facts;
    }

    /// A complete journal never shrinks, so the guard `complete` stays true.
    [[nodiscard]] std::vector<bool> possible_answers(chart::symbol guard,
                                                     chart::fact_bits facts) const override
    {
        if (is_symbol(guard, generation_guard::complete) && (facts & known_complete) != 0) {
            return {true};
        }
        return {true, false};
    }

    [[nodiscard]] chart::fact_bits after_answer(const chart::guard_answer& answer,
                                                chart::fact_bits facts) const override
    {
        if (answer.second && is_symbol(answer.first, generation_guard::complete)) {
            facts |= known_complete;
        }
        if (answer.second && is_symbol(answer.first, generation_guard::all_released)) {
            facts |= released;
        }
        return facts;
    }

    [[nodiscard]] chart::fact_bits after_action(chart::symbol action,
                                                chart::fact_bits facts) const override
    {
        switch (static_cast<generation_action>(action)) {
        case generation_action::seek_target:
            return facts | in_search;
        case generation_action::open_attempt:
            return (facts | attempt_open) & ~in_search;
        case generation_action::cancel_attempt:
            return facts & ~attempt_open;
        case generation_action::note_loss:
            return facts & ~attempt_open;
        case generation_action::note_finish:
            return (facts & ~attempt_open) | engine_finished;
        case generation_action::release_all:
            return facts | released;
        case generation_action::finish_callers:
        case generation_action::fail_attempts_spent:
        case generation_action::fail_deadline:
        case generation_action::fail_no_target:
        case generation_action::fail_quarantined:
        case generation_action::hand_over_callers:
            return facts | answered;
        default:
            return facts;
        }
    }

    [[nodiscard]] std::vector<std::string>
    violations_of(const chart::explored_step& step) const override
    {
        std::vector<std::string> violations;
        const auto check = [&](bool holds, const char* rule) {
            if (!holds) {
                violations.emplace_back(rule);
            }
        };
        const std::string& name = chart_.at(step.result.state).name;
        const bool ends = chart_.at(step.result.state).is_final;
        const auto does = [&](generation_action action) {
            return std::count(step.result.actions.begin(), step.result.actions.end(),
                              static_cast<chart::symbol>(action)) > 0;
        };
        check(!chart_.at(step.from).is_final || !step.result.handled,
              "a final state handles no event");
        check(!does(generation_action::finish_callers) ||
                  (step.after & (engine_finished | known_complete)) != 0,
              "callers are finished only with a complete answer or a finished attempt");
        check(!does(generation_action::finish_callers) || (step.after & released) != 0,
              "callers are finished only when all tokens are released");
        check(!ends || (step.after & attempt_open) == 0, "a final state leaves no attempt open");
        check(!ends || name == "cancelled" || (step.after & answered) != 0,
              "every caller receives a result");
        check((step.before & answered) == 0 || (!does(generation_action::deliver_tokens) &&
                                                !does(generation_action::finish_callers)),
              "nothing is delivered after the result");
        check(!does(generation_action::open_attempt) || (step.before & attempt_open) == 0,
              "at most one attempt is open");
        check(!does(generation_action::append_tokens) || (step.before & attempt_open) != 0,
              "tokens are appended only from an open attempt");
        check(!does(generation_action::append_tokens) || (step.before & engine_finished) == 0,
              "no token is appended after the attempt has finished");
        check(!chart_.is_within(step.result.state, *chart_.find("seeking")) ||
                  (step.after & in_search) != 0,
              "a seeking generation has requested a target");
        check(!does(generation_action::fail_no_target) || (step.before & attempt_open) == 0,
              "a generation with an open attempt doesn't fail for lack of a target");
        return violations;
    }

  private:
    const chart::chart& chart_;
};

std::string chart_text()
{
    const chart::library charts = chart::library::embedded();
    for (const auto& [name, text] : charts.files()) {
        if (name == "generation") {
            return text;
        }
    }
    return {};
}

chart::exploration explore(const std::string& text)
{
    const auto loaded = chart::load(text, "generation.json", generation::generation_vocabulary());
    BOOST_REQUIRE_MESSAGE(loaded.ok(), std::string{loaded.status().message()});
    return chart::explore(**loaded, generation_model{**loaded});
}

/// @return the chart text with one passage replaced by another
std::string mutated_chart(const std::string& from, const std::string& to)
{
    std::string text = chart_text();
    const std::size_t at = text.find(from);
    BOOST_REQUIRE_MESSAGE(at != std::string::npos, from);
    return text.replace(at, from.size(), to);
}

} // namespace

BOOST_AUTO_TEST_CASE(the_chart_keeps_all_rules_in_every_order_of_events)
{
    const chart::exploration found = explore(chart_text());
    BOOST_TEST(found.is_complete);
    for (const chart::violation& each : found.violations) {
        std::string trace;
        for (const std::string& line : each.trace) {
            trace += "\n  " + line;
        }
        BOOST_ERROR(each.problem + trace);
    }
    // All states except the group states, which are never entered themselves.
    BOOST_TEST(found.reached.size() == 11U);
}

BOOST_AUTO_TEST_CASE(the_model_detects_faults_in_the_chart)
{
    const std::vector<std::pair<std::string, std::string>> mutations{
        {R"([{"target": "cancelled", "actions": ["cancel_attempt", "note_cancel"]}])",
         R"([{"target": "cancelled", "actions": ["note_cancel"]}])"},
        {R"(["cancel_attempt", "note_cancel", "fail_deadline"])", R"(["fail_deadline"])"},
        {R"("target": "committing", "actions": ["note_finish", "deliver_tokens"])",
         R"("target": "done", "actions": ["note_finish", "finish_callers"])"},
        {R"({"guard": "complete", "target": "committing", "actions": ["note_loss", "deliver_tokens"]},
          )",
         R"({"target": "committing", "actions": ["note_loss", "deliver_tokens"]}, )"},
        {R"("entry": ["seek_target"],)", ""},
        {R"(["cancel_attempt", "note_cancel", "hand_over_callers"])",
         R"(["cancel_attempt", "note_cancel"])"},
        {R"({"guard": "attempts_left", "target": "resuming", "actions": ["cancel_attempt", "note_loss"]})",
         R"({"guard": "attempts_left", "target": "resuming"})"},
    };
    for (const auto& [from, to] : mutations) {
        std::string text = mutated_chart(from, to);
        // The loader itself rejects a transition without a guard that isn't the last of its event.
        const auto loaded =
            chart::load(text, "generation.json", generation::generation_vocabulary());
        const bool is_detected = !loaded.ok() || !explore(text).violations.empty();
        BOOST_TEST(is_detected, to);
    }
}
