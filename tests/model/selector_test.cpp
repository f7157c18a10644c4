#include "model/selector.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace cyclamen;

namespace {

bool matches(const char* text, std::map<std::string, std::string, std::less<>> labels)
{
    const auto parsed = model::selector::parse(text);
    BOOST_REQUIRE_MESSAGE(parsed.ok(), std::string{parsed.status().message()});
    return parsed->matches(model::label_set{std::move(labels)});
}

void check_column(const char* text, int column)
{
    const auto parsed = model::selector::parse(text);
    BOOST_REQUIRE(!parsed.ok());
    const std::string message{parsed.status().message()};
    BOOST_TEST(message.find("column " + std::to_string(column) + ":") != std::string::npos,
               message);
}

model::selector any_selector()
{
    const auto key = rc::gen::elementOf(std::vector<std::string>{"a", "b"});
    const auto value = rc::gen::elementOf(std::vector<std::string>{"x", "y", "z"});
    std::string text;
    const int count = *rc::gen::inRange(0, 4);
    for (int i = 0; i < count; ++i) {
        const std::string name = *key;
        const std::vector<std::string> forms{name + "=" + *value,
                                             name + "!=" + *value,
                                             name + " in (" + *value + "," + *value + ")",
                                             name + " notin (" + *value + ")",
                                             name,
                                             "!" + name};
        text += (i == 0 ? "" : ",") + *rc::gen::elementOf(forms);
    }
    return *model::selector::parse(text);
}

} // namespace

BOOST_AUTO_TEST_CASE(each_kind_of_requirement_matches_labels)
{
    BOOST_TEST(matches("", {}));
    BOOST_TEST(matches("tier=gold", {{"tier", "gold"}}));
    BOOST_TEST(!matches("tier=gold", {}));
    BOOST_TEST(matches("tier!=gold", {}));
    BOOST_TEST(matches("zone in (a, b), tier", {{"zone", "b"}, {"tier", "x"}}));
    BOOST_TEST(!matches("zone notin (a,b)", {{"zone", "b"}}));
    BOOST_TEST(matches("!trial", {}));
    BOOST_TEST(!matches("!trial", {{"trial", ""}}));
    BOOST_TEST(matches("inner=1,notint", {{"inner", "1"}, {"notint", "2"}}));
}

BOOST_AUTO_TEST_CASE(syntax_errors_report_the_column)
{
    check_column("tier=", 6);
    check_column("a b", 3);
    check_column("zone in a", 9);
    check_column("zone in (a", 11);
    check_column("a,", 3);
    check_column("!", 2);
}

RC_BOOST_PROP(parsing_restores_a_printed_selector, ())
{
    const model::selector selected = any_selector();
    RC_ASSERT(*model::selector::parse(model::to_string(selected)) == selected);
}

RC_BOOST_PROP(selectors_that_match_one_label_set_may_overlap, ())
{
    const model::selector left = any_selector();
    const model::selector right = any_selector();
    const auto value = rc::gen::elementOf(std::vector<std::string>{"x", "y", "z", ""});
    std::map<std::string, std::string, std::less<>> labels;
    for (const char* key : {"a", "b"}) {
        const std::string chosen = *value;
        if (!chosen.empty()) {
            labels.emplace(key, chosen);
        }
    }
    const model::label_set both{labels};
    RC_PRE(left.matches(both) && right.matches(both));
    RC_ASSERT(left.may_overlap(right));
}
