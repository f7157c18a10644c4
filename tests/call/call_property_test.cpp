#include <algorithm>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "call/call_simulation.hpp"

using namespace cyclamen;
using test::call_simulation;
using test::service_behaviour;
using test::store_behaviour;
using namespace std::chrono_literals;

namespace {

/// Sequence of choices that drives one run. Yields 0, the choice without a fault, once exhausted.
class choice_sequence {
  public:
    explicit choice_sequence(std::vector<std::uint32_t> choices) : choices_{std::move(choices)} {}

    std::uint32_t draw(std::uint32_t bound)
    {
        return next_ < choices_.size() ? choices_[next_++] % bound : 0;
    }

  private:
    std::vector<std::uint32_t> choices_;
    std::size_t next_ = 0;
};

/// @return one of the behaviours; the one without a fault in about half of the cases
template <class Behaviour>
Behaviour draw_behaviour(choice_sequence& choices)
{
    constexpr std::uint32_t behaviour_count = 6;
    const std::uint32_t drawn = choices.draw(2 * behaviour_count - 2);
    return drawn < behaviour_count ? static_cast<Behaviour>(drawn) : Behaviour::answers;
}

/// Outcome of one run as observed by the callers and the service.
struct outcome {
    std::map<std::string, int> runs;
    std::map<std::string, std::vector<std::string>> answers;
    bool refusals_correct = true;
};

constexpr std::size_t instance_count = 3;
constexpr int key_count = 3;
constexpr int max_sends = 6;
constexpr core::duration caller_timeout = 4s;

/// Callers that retry each request, one send at a time, until it is answered or they give up.
class caller_simulation {
  public:
    caller_simulation(call_simulation& simulation, choice_sequence& choices, outcome& observed)
        : simulation_{simulation}, choices_{choices}, observed_{observed}
    {
    }

    void send(const std::string& key, int send_number)
    {
        const std::size_t instance = choices_.draw(instance_count);
        const auto caller = simulation_.send(instance, key, send_number > 0);
        inject_fault();
        simulation_.at(caller_timeout, [this, instance, key, send_number, caller] {
            check_result(instance, key, send_number, caller);
        });
    }

    /// Checks at the end of a run that no send that was refused as not run has run later.
    void check_refused_sends()
    {
        for (const auto& [caller, result] : simulation_.results) {
            if (result.failure.has_value() && result.failure->not_run) {
                observed_.refusals_correct = observed_.refusals_correct &&
                                             simulation_.runs_of_send[std::to_string(caller)] == 0;
            }
        }
    }

  private:
    call_simulation& simulation_;
    choice_sequence& choices_;
    outcome& observed_;

    void inject_fault()
    {
        const std::size_t instance = choices_.draw(instance_count);
        const auto delay = std::chrono::milliseconds{choices_.draw(1500)};
        switch (choices_.draw(6)) {
        case 1:
            return simulation_.at(delay, [this, instance] { simulation_.crash(instance); });
        case 2:
            return simulation_.at(delay, [this, instance] { simulation_.pause(instance, 5s); });
        default:
            return;
        }
    }

    void check_result(std::size_t instance, const std::string& key, int send_number,
                      std::uint64_t caller)
    {
        const test::send_result& result = simulation_.results[caller];
        if (result.answered) {
            observed_.answers[key].push_back(result.body);
        }
        else if (result.failure.has_value() && result.failure->not_run) {
            observed_.refusals_correct = observed_.refusals_correct && simulation_.runs[key] == 0;
        }
        simulation_.disconnect(instance, caller);
        if (send_number + 1 < max_sends && (!result.answered || choices_.draw(2) == 1)) {
            const auto delay = std::chrono::milliseconds{choices_.draw(3000)};
            simulation_.at(delay, [this, key, send_number] { send(key, send_number + 1); });
        }
    }
};

outcome simulate(const std::vector<std::uint32_t>& choices, bool is_naive, bool has_faults = true)
{
    choice_sequence drawn{choices};
    call_simulation simulation{instance_count, is_naive};
    if (has_faults) {
        simulation.next_store_behaviour = [&] { return draw_behaviour<store_behaviour>(drawn); };
        simulation.next_service_behaviour = [&] {
            return draw_behaviour<service_behaviour>(drawn);
        };
    }
    outcome observed;
    caller_simulation simulated_callers{simulation, drawn, observed};
    for (int key = 0; key < key_count; ++key) {
        simulated_callers.send("k" + std::to_string(key), 0);
    }
    simulation.run(300s);
    simulated_callers.check_refused_sends();
    observed.runs = simulation.runs;
    return observed;
}

auto make_choices()
{
    return rc::gen::container<std::vector<std::uint32_t>>(
        400, rc::gen::inRange<std::uint32_t>(0, 1'000'000));
}

bool ran_twice(const outcome& observed)
{
    return std::any_of(observed.runs.begin(), observed.runs.end(),
                       [](const auto& each) { return each.second > 1; });
}

} // namespace

RC_BOOST_PROP(a_keyed_call_runs_at_most_once_under_any_faults, ())
{
    const auto choices = *make_choices();
    const outcome observed = simulate(choices, false);
    RC_CLASSIFY(observed.answers.size() == key_count, "all keys answered");
    RC_CLASSIFY(observed.answers.empty(), "no key answered");
    RC_ASSERT(!ran_twice(observed));
    RC_ASSERT(observed.refusals_correct);
    for (const auto& [key, answers] : observed.answers) {
        for (const std::string& each : answers) {
            RC_ASSERT(each == "filed " + key + " as number 1");
        }
    }
}

RC_BOOST_PROP(answers_match_the_naive_handler_without_faults, ())
{
    const int count = *rc::gen::inRange(1, 8);
    const auto answers_of = [count](bool is_naive) {
        call_simulation simulation{instance_count, is_naive};
        std::vector<std::string> bodies;
        for (int i = 0; i < count; ++i) {
            const auto caller = simulation.send(static_cast<std::size_t>(i) % instance_count,
                                                "k" + std::to_string(i));
            simulation.run(200ms);
            bodies.push_back(simulation.results[caller].body);
        }
        return bodies;
    };
    RC_ASSERT(answers_of(false) == answers_of(true));
}

BOOST_AUTO_TEST_CASE(the_naive_handler_runs_a_call_twice_after_a_lost_answer)
{
    call_simulation simulation{1, true};
    simulation.next_service_behaviour = [first = true]() mutable {
        return std::exchange(first, false) ? service_behaviour::runs_and_loses_answer
                                           : service_behaviour::answers;
    };
    simulation.send(0, "k");
    simulation.run(1s);
    BOOST_TEST(simulation.runs.at("k") == 2);
}
