#include "chart/loader.hpp"

#include <boost/test/unit_test.hpp>

#include "chart/dot.hpp"
#include "chart/library.hpp"

using namespace cyclamen;

namespace {

const chart::vocabulary bound_names{{"go", "stop"}, {"ready"}, {"start", "halt"}, {"limit"}};

std::string error_of(const std::string& states)
{
    const auto loaded = chart::load(R"({"name":"lamp","initial":"off","states":)" + states + "}",
                                    "lamp.json", bound_names);
    return loaded.ok() ? std::string{} : std::string{loaded.status().message()};
}

void check_error(const std::string& states, const std::string& expected)
{
    const std::string error = error_of(states);
    BOOST_TEST(error.find("lamp.json") != std::string::npos);
    BOOST_TEST(error.find(expected) != std::string::npos, error << " lacks " << expected);
}

} // namespace

BOOST_AUTO_TEST_CASE(a_valid_chart_loads)
{
    BOOST_TEST(error_of(R"({"off":{"on":{"go":[{"target":"on"}]}},"on":{}})").empty());
}

BOOST_AUTO_TEST_CASE(errors_include_the_file_the_state_and_the_name)
{
    check_error(R"({"off":{"on":{"jump":[{"target":"off"}]}}})", "state off: event jump");
    check_error(R"({"off":{"on":{"go":[{"guard":"g"}]}}})", "state off: guard g");
    check_error(R"({"off":{"entry":["sing"]}})", "state off: action sing");
    check_error(R"({"off":{"timeouts":{"never":"go"}}})", "state off: timeout never");
    check_error(R"({"off":{"on":{"go":[{"target":"away"}]}}})", "state off: target away");
    check_error(R"({"off":{},"on":{}})", "state on: no transition leads to it");
    check_error(R"({"off":{"on":{"go":[{},{"target":"off"}]}}})",
                "state off: event go is ambiguous");
    check_error(R"({"off":{"parent":"off"}})", "state off: its parents form a cycle");
    check_error(R"({"off":{"final":true,"on":{"go":[{}]}}})", "state off: a final state");
    check_error(R"({"off":{"colour":"red"}})", "/states/off");
}

BOOST_AUTO_TEST_CASE(embedded_charts_load_and_can_be_drawn)
{
    const auto library = chart::library::embedded();
    BOOST_TEST(!library.files().empty());
    for (const auto& [name, text] : library.files()) {
        const auto used = chart::used_names(text, name);
        BOOST_REQUIRE(used.ok());
        const auto loaded = chart::load(text, name, *used);
        BOOST_REQUIRE(loaded.ok());
        BOOST_TEST(chart::to_dot(**loaded).starts_with("digraph"));
    }
}
