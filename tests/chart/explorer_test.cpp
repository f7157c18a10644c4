#include "chart/explorer.hpp"

#include <boost/test/unit_test.hpp>

#include "chart/loader.hpp"

using namespace cyclamen;

namespace {

constexpr chart::fact_bits door_is_open = 1;

std::shared_ptr<const chart::chart> make_chart(std::string_view closing_actions)
{
    static const chart::vocabulary bound_names{
        {"push", "pull", "lock"}, {"free"}, {"open", "close"}, {}};
    const std::string text =
        R"({"name":"door","initial":"shut","states":{
        "shut":{"on":{"push":[{"guard":"free","target":"ajar","actions":["open"]},{}],
                      "lock":[{"target":"locked"}]}},
        "ajar":{"on":{"pull":[{"target":"shut","actions":[)" +
        std::string{closing_actions} + R"(]}]}},
        "locked":{"final":true}}})";
    const auto loaded = chart::load(text, "door.json", bound_names);
    BOOST_REQUIRE_MESSAGE(loaded.ok(), loaded.status().message());
    return *loaded;
}

/// Invariant: a locked door isn't open.
class door_model final : public chart::exploration_model {
  public:
    explicit door_model(const chart::chart& definition) : locked_{*definition.find("locked")} {}

    [[nodiscard]] chart::fact_bits after_action(chart::symbol action,
                                                chart::fact_bits facts) const override
    {
        return action == 0 ? facts | door_is_open : facts & ~door_is_open;
    }

    [[nodiscard]] std::vector<std::string>
    violations_of(const chart::explored_step& step) const override
    {
        if (step.result.state == locked_ && (step.after & door_is_open) != 0) {
            return {"locked while open"};
        }
        return {};
    }

  private:
    chart::state_index locked_;
};

} // namespace

BOOST_AUTO_TEST_CASE(exploration_covers_every_state_and_checks_the_invariant)
{
    const auto definition = make_chart(R"("close")");
    const chart::exploration found = chart::explore(*definition, door_model{*definition});
    BOOST_TEST(found.reached.size() == 3U);
    BOOST_TEST(found.situations == 3U);
    // Three events in each of three situations; one guard has two answers, which adds a step.
    BOOST_TEST(found.steps == 10U);
    BOOST_TEST(found.is_complete);
    BOOST_TEST(found.violations.empty());
}

BOOST_AUTO_TEST_CASE(a_violation_is_reported_with_the_shortest_trace)
{
    const auto definition = make_chart("");
    const chart::exploration found = chart::explore(*definition, door_model{*definition});
    BOOST_REQUIRE(found.violations.size() == 1U);
    BOOST_TEST(found.violations[0].problem == "locked while open");
    const std::vector<std::string> expected{"shut --push free--> ajar", "ajar --pull--> shut",
                                            "shut --lock--> locked"};
    BOOST_TEST((found.violations[0].trace == expected));
}

BOOST_AUTO_TEST_CASE(a_search_that_reaches_its_bound_is_reported_as_incomplete)
{
    const auto definition = make_chart("");
    BOOST_TEST(!chart::explore(*definition, door_model{*definition}, 2).is_complete);
}
