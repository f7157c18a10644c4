#include "standin/token_chain.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "standin/engine_model.hpp"

using namespace cyclamen;

namespace {

std::string answer(std::string_view prompt, std::string_view version, std::uint32_t variant,
                   int count)
{
    standin::token_chain chain{prompt, version};
    std::string text;
    for (int i = 0; i < count; ++i) {
        text += chain.next(variant);
    }
    return text;
}

} // namespace

RC_BOOST_PROP(answer_continued_by_another_attempt_is_correct, ())
{
    const int before = *rc::gen::inRange(0, 20);
    const int after = *rc::gen::inRange(1, 20);
    const std::string first = answer("a prompt", "v1", 3, before);
    const std::string rest = answer("a prompt" + first, "v1", 7, after);
    RC_ASSERT(standin::check_answer("a prompt", "v1", first + rest)
                  .is_complete(static_cast<std::uint64_t>(before + after)));
}

BOOST_AUTO_TEST_CASE(missing_repeated_mixed_and_wrong_tokens_are_detected)
{
    const std::string correct = answer("p", "v1", 1, 8);
    const std::string other = answer("p", "v1", 2, 8);
    const auto tokens = standin::split_tokens(correct);
    BOOST_REQUIRE(tokens.size() == 8U);
    const auto is_complete = [](const std::string& text) {
        return standin::check_answer("p", "v1", text).is_complete(8);
    };
    BOOST_TEST(is_complete(correct));
    BOOST_TEST(!is_complete(correct.substr(0, correct.size() - tokens.back().size())));
    BOOST_TEST(!is_complete(correct + tokens.back()));
    BOOST_TEST(
        !is_complete(correct.substr(0, 4 * tokens[0].size()) + other.substr(4 * tokens[0].size())));
    BOOST_TEST(!standin::check_answer("p", "v2", correct).is_complete(8));
    BOOST_TEST(!standin::check_answer("q", "v1", correct).is_complete(8));
}

BOOST_AUTO_TEST_CASE(token_rate_falls_with_the_number_of_streams)
{
    const standin::engine_settings settings{{"127.0.0.1", 1}, "v1"};
    const auto tokens_in_a_second = [&](std::uint64_t streams) {
        standin::engine_model model{settings};
        for (std::uint64_t i = 0; i < streams; ++i) {
            model.open(standin::stream_id{i}, "p", 1'000'000, core::instant{});
        }
        return model.advance(core::instant{std::chrono::seconds{1}}).size() / streams;
    };
    BOOST_TEST(tokens_in_a_second(1) > tokens_in_a_second(50));
}
