#include "chart/interpreter.hpp"

#include <boost/test/unit_test.hpp>

#include "chart/loader.hpp"

using namespace cyclamen;

namespace {

class fixed_guard final : public chart::guard_source {
  public:
    explicit fixed_guard(bool answer) : answer_{answer} {}
    [[nodiscard]] bool holds(chart::symbol /*guard*/) const override { return answer_; }

  private:
    bool answer_;
};

std::shared_ptr<const chart::chart> make_chart()
{
    static const chart::vocabulary bound_names{
        {"go", "back", "over"},
        {"ready"},
        {"enter_all", "leave_all", "enter_a", "leave_a", "enter_b", "move"},
        {"limit"}};
    const auto loaded = chart::load(R"({"name":"c","initial":"a","states":{
        "all":{"entry":["enter_all"],"exit":["leave_all"],"timeouts":{"limit":"over"},
               "on":{"over":[{"target":"end"}]}},
        "a":{"parent":"all","entry":["enter_a"],"exit":["leave_a"],
             "on":{"go":[{"guard":"ready","target":"b","actions":["move"]},{"actions":["move"]}]}},
        "b":{"parent":"all","entry":["enter_b"],"on":{"back":[{"target":"b"}]}},
        "end":{"final":true}}})",
                                    "c.json", bound_names);
    BOOST_REQUIRE(loaded.ok());
    return *loaded;
}

std::vector<std::string> names(const chart::chart& definition, const chart::step_result& result)
{
    std::vector<std::string> actions;
    for (const chart::symbol action : result.actions) {
        actions.push_back(definition.bound_names().actions()[action]);
    }
    return actions;
}

using text_list = std::vector<std::string>;

} // namespace

BOOST_AUTO_TEST_CASE(entering_runs_entry_actions_from_the_outermost_state_inwards)
{
    const auto definition = make_chart();
    const auto result = chart::enter(*definition);
    BOOST_TEST((names(*definition, result) == text_list{"enter_all", "enter_a"}));
    BOOST_TEST(result.started.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_transition_to_a_sibling_does_not_exit_the_parent)
{
    const auto definition = make_chart();
    const auto result = chart::step(*definition, *definition->find("a"), 0, fixed_guard{true});
    BOOST_TEST(definition->at(result.state).name == "b");
    BOOST_TEST((names(*definition, result) == text_list{"leave_a", "move", "enter_b"}));
    BOOST_TEST(result.stopped.empty());
}

BOOST_AUTO_TEST_CASE(guards_are_evaluated_in_order_and_internal_transitions_run_no_entry_actions)
{
    const auto definition = make_chart();
    const auto result = chart::step(*definition, *definition->find("a"), 0, fixed_guard{false});
    BOOST_TEST(definition->at(result.state).name == "a");
    BOOST_TEST((names(*definition, result) == text_list{"move"}));
}

BOOST_AUTO_TEST_CASE(a_self_transition_runs_the_entry_actions_again)
{
    const auto definition = make_chart();
    const auto result = chart::step(*definition, *definition->find("b"), 1, fixed_guard{true});
    BOOST_TEST((names(*definition, result) == text_list{"enter_b"}));
}

BOOST_AUTO_TEST_CASE(an_unhandled_event_goes_to_the_parent_or_is_ignored)
{
    const auto definition = make_chart();
    const auto over = chart::step(*definition, *definition->find("b"), 2, fixed_guard{true});
    BOOST_TEST(definition->at(over.state).name == "end");
    BOOST_TEST((names(*definition, over) == text_list{"leave_all"}));
    BOOST_TEST(over.stopped.size() == 1U);
    BOOST_TEST(!chart::step(*definition, *definition->find("end"), 0, fixed_guard{true}).handled);
}
