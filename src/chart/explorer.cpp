#include "chart/explorer.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>

#include "core/text.hpp"

namespace cyclamen::chart {

namespace {

using situation = std::pair<state_index, fact_bits>;

/// Answers guards from a script. Past the end of the script it gives the first possible answer and
/// records where another answer is possible.
class scripted_guards final : public guard_source {
  public:
    scripted_guards(const exploration_model& model, fact_bits facts, std::vector<bool> script)
        : model_{model}, facts_{facts}, script_{std::move(script)}
    {
    }

    [[nodiscard]] bool holds(symbol guard) const override
    {
        const std::size_t asked = answers_.size();
        const std::vector<bool> possible = model_.possible_answers(guard, facts_);
        if (asked == script_.size()) {
            script_.push_back(possible.front());
            if (possible.size() > 1) {
                forks_.push_back(asked);
            }
        }
        answers_.emplace_back(guard, script_[asked]);
        facts_ = model_.after_answer(answers_.back(), facts_);
        return script_[asked];
    }

    /// @return one script for each guard whose second possible answer hasn't been tried: the
    /// answers up to that guard, then the other answer
    [[nodiscard]] std::vector<std::vector<bool>> other_scripts() const
    {
        std::vector<std::vector<bool>> others;
        for (const std::size_t fork : forks_) {
            std::vector<bool> other{script_.begin(),
                                    script_.begin() + static_cast<std::ptrdiff_t>(fork)};
            other.push_back(!script_[fork]);
            others.push_back(std::move(other));
        }
        return others;
    }

    [[nodiscard]] const std::vector<guard_answer>& answers() const { return answers_; }
    [[nodiscard]] fact_bits facts() const { return facts_; }

  private:
    const exploration_model& model_;
    mutable fact_bits facts_;
    mutable std::vector<bool> script_;
    mutable std::vector<std::size_t> forks_;
    mutable std::vector<guard_answer> answers_;
};

/// Breadth-first search over the situations of a chart.
class search {
  public:
    search(const chart& definition, const exploration_model& model, std::size_t max_situations)
        : definition_{definition}, model_{model}, max_situations_{max_situations}
    {
    }

    exploration run()
    {
        const step_result entered = enter(definition_);
        reach({entered.state, after_actions(entered, model_.initial_facts())}, std::nullopt, "");
        while (!queue_.empty()) {
            const situation current = queue_.front();
            queue_.pop_front();
            for (symbol event = 0; event < definition_.bound_names().events().size(); ++event) {
                if (model_.may_occur(event, current.first, current.second)) {
                    take_event(current, event);
                }
            }
        }
        std::set<state_index> reached;
        for (const auto& [reached_situation, origin] : origins_) {
            reached.insert(reached_situation.first);
        }
        return exploration{reached, origins_.size(), steps_, violations_, is_complete_};
    }

  private:
    struct origin {
        std::optional<situation> from;
        std::string step_text;
    };

    const chart& definition_;
    const exploration_model& model_;
    const std::size_t max_situations_;
    std::map<situation, origin> origins_;
    std::deque<situation> queue_;
    std::set<std::string> known_problems_;
    std::vector<violation> violations_;
    std::size_t steps_ = 0;
    bool is_complete_ = true;

    [[nodiscard]] fact_bits after_actions(const step_result& result, fact_bits facts) const
    {
        for (const symbol action : result.actions) {
            facts = model_.after_action(action, facts);
        }
        return facts;
    }

    void reach(const situation& found, std::optional<situation> from, std::string step_text)
    {
        if (origins_.contains(found)) {
            return;
        }
        if (origins_.size() >= max_situations_) {
            is_complete_ = false;
            return;
        }
        origins_.emplace(found, origin{std::move(from), std::move(step_text)});
        queue_.push_back(found);
    }

    void take_event(const situation& current, symbol event)
    {
        std::vector<std::vector<bool>> scripts{{}};
        while (!scripts.empty()) {
            const scripted_guards guards{model_, model_.after_event(event, current.second),
                                         std::move(scripts.back())};
            scripts.pop_back();
            const step_result result = step(definition_, current.first, event, guards);
            for (auto& other : guards.other_scripts()) {
                scripts.push_back(std::move(other));
            }
            check(current, explored_step{current.first, event, guards.answers(), result,
                                         current.second, after_actions(result, guards.facts())});
        }
    }

    void check(const situation& current, const explored_step& taken)
    {
        ++steps_;
        const std::string step_text = describe(taken);
        for (const std::string& problem : model_.violations_of(taken)) {
            if (known_problems_.insert(problem).second) {
                violations_.push_back(violation{problem, trace_to(current, step_text)});
            }
        }
        reach({taken.result.state, taken.after}, current, step_text);
    }

    [[nodiscard]] std::string describe(const explored_step& taken) const
    {
        std::string text = core::concat(definition_.at(taken.from).name, " --",
                                        definition_.bound_names().events()[taken.event]);
        for (const auto& [guard, answer] : taken.answers) {
            core::append(text, answer ? " " : " not ", definition_.bound_names().guards()[guard]);
        }
        return core::concat(text, "--> ", definition_.at(taken.result.state).name);
    }

    [[nodiscard]] std::vector<std::string> trace_to(const situation& last,
                                                    const std::string& step_text) const
    {
        std::vector<std::string> trace{step_text};
        std::optional<situation> current = last;
        while (current.has_value()) {
            const origin& reached_by = origins_.at(*current);
            if (reached_by.from.has_value()) {
                trace.push_back(reached_by.step_text);
            }
            current = reached_by.from;
        }
        std::reverse(trace.begin(), trace.end());
        return trace;
    }
};

} // namespace

exploration explore(const chart& definition, const exploration_model& model,
                    std::size_t max_situations)
{
    return search{definition, model, max_situations}.run();
}

} // namespace cyclamen::chart
