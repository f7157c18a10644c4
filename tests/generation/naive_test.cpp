#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "core/clock.hpp"
#include "generation/fake_output.hpp"
#include "generation/fixed_timeout_policy.hpp"
#include "routing/fewest_open_chooser.hpp"
#include "standin/token_chain.hpp"

using namespace cyclamen;

namespace {

constexpr std::uint64_t length = 12;

generation::generation_policies naive_policies()
{
    return {std::make_unique<generation::fixed_timeout_policy>(std::chrono::seconds{10},
                                                               std::chrono::seconds{2}),
            std::make_unique<generation::restart_from_beginning>()};
}

/// A generation manager with engines whose tokens can be verified.
struct manager_fixture {
    explicit manager_fixture(generation::generation_policies policies)
        : manager{{}, test::generation_chart(), chooser, output, std::move(policies)}
    {
        manager.configure(test::make_configuration());
        manager.on_request(test::make_request(1, length), clock.now());
    }

    /// Makes the newest attempt produce tokens; the number of the attempt selects the variant of
    /// the answer.
    void produce(std::uint64_t count)
    {
        const api::open_attempt& open = output.opened.back();
        if (chain_attempt != output.opened.size()) {
            chain_attempt = output.opened.size();
            chain.emplace(open.prompt, "v1");
            next = open.first;
        }
        std::vector<std::string> run;
        const std::uint64_t end = std::min(next + count, open.first + open.max_tokens);
        for (std::uint64_t i = next; i < end; ++i) {
            run.push_back(chain->next(static_cast<std::uint32_t>(chain_attempt)));
        }
        computed_tokens += run.size();
        if (!run.empty()) {
            manager.on_engine_event(api::attempt_tokens{open.attempt, next, run}, clock.now());
        }
        next = end;
        if (next == open.first + open.max_tokens) {
            manager.on_engine_event(api::attempt_finished{open.attempt}, clock.now());
        }
    }

    void lose(api::loss_kind kind = api::loss_kind::connection_lost)
    {
        manager.on_engine_event(api::attempt_lost{output.opened.back().attempt, kind, "lost"},
                                clock.now());
    }

    [[nodiscard]] bool is_correct() const
    {
        std::string text;
        for (const std::string& token : output.delivered) {
            text += token;
        }
        return output.complete == 1 && output.in_order &&
               standin::check_answer("a prompt", "v1", text).is_complete(length);
    }

    core::manual_clock clock;
    routing::fewest_open_chooser chooser;
    test::recorded_output output;
    generation::generation_manager manager;
    std::optional<standin::token_chain> chain;
    std::size_t chain_attempt = 0;
    std::uint64_t next = 0;
    std::uint64_t computed_tokens = 0;
};

} // namespace

BOOST_AUTO_TEST_CASE(both_policies_give_the_same_answer_without_failures)
{
    const bool holds = rc::check("same answers", [] {
        const auto runs = *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 5));
        manager_fixture resuming{{}};
        manager_fixture naive{naive_policies()};
        for (manager_fixture* each : {&resuming, &naive}) {
            for (const int count : runs) {
                each->produce(static_cast<std::uint64_t>(count));
            }
            each->produce(length);
            RC_ASSERT(each->is_correct());
            RC_ASSERT(each->computed_tokens == length);
        }
        RC_ASSERT(resuming.output.delivered == naive.output.delivered);
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(resuming_gives_correct_answers_despite_losses_and_computes_no_token_twice)
{
    const bool holds = rc::check("losses", [] {
        const auto runs = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5));
        manager_fixture resuming{{}};
        for (std::size_t i = 0; i < runs.size() && resuming.output.complete == 0; ++i) {
            resuming.produce(static_cast<std::uint64_t>(runs[i]));
            if (i < 7) {
                // Connections lost without a token would quarantine the request.
                resuming.lose(api::loss_kind::engine_error);
            }
        }
        resuming.produce(length);
        RC_ASSERT(resuming.is_correct());
        RC_ASSERT(resuming.computed_tokens == length);
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(the_naive_policy_mixes_the_tokens_of_two_attempts_after_a_loss)
{
    manager_fixture naive{naive_policies()};
    naive.produce(5);
    naive.lose();
    naive.produce(length);
    BOOST_TEST(naive.output.complete == 1);
    BOOST_TEST(!naive.is_correct());
    BOOST_TEST(naive.computed_tokens == length + 5);
}
