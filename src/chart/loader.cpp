#include "chart/loader.hpp"

#include <map>
#include <set>

#include <nlohmann/json.hpp>

#include "chart/chart_schema.hpp"
#include "core/error.hpp"
#include "core/text.hpp"
#include "json/schema.hpp"

namespace cyclamen::chart {

namespace {

using document = nlohmann::json;

absl::Status chart_error(std::string_view source, std::string_view state_name,
                         std::string_view problem, std::string_view remedy)
{
    return core::make_error(core::error_kind::invalid_argument,
                            core::concat(source, ": state ", state_name, ": ", problem), remedy);
}

absl::StatusOr<document> parse_checked(std::string_view text, std::string_view source)
{
    auto parsed = json::parse(text, source);
    if (!parsed.ok()) {
        return parsed;
    }
    const auto faults = json::validate(*parsed, chart_schema());
    if (!faults.empty()) {
        return json::to_error(faults, source,
                              "correct the chart file; docs/DESIGN.md describes it");
    }
    return parsed;
}

/// Builds a chart from its file and resolves the names in it against a vocabulary.
class builder {
  public:
    builder(const document& file, std::string_view source, const vocabulary& bound_names)
        : file_{file}, source_{source}, bound_names_{bound_names}
    {
        for (const auto& [state_name, body] : file_["states"].items()) {
            index_.emplace(state_name, names_.size());
            names_.push_back(state_name);
        }
    }

    absl::StatusOr<std::shared_ptr<const chart>> build()
    {
        std::vector<state> states;
        for (const std::string& state_name : names_) {
            auto built = build_state(state_name, file_["states"][state_name]);
            if (!built.ok()) {
                return built.status();
            }
            states.push_back(*std::move(built));
        }
        const std::string initial = file_["initial"].get<std::string>();
        const auto found = index_.find(initial);
        if (found == index_.end()) {
            return chart_error(source_, initial, "the initial state is not among the states",
                               "add the state or choose another initial state");
        }
        auto built = std::make_shared<const chart>(file_["name"].get<std::string>(), bound_names_,
                                                   std::move(states), found->second);
        auto status = check_parents(*built);
        if (status.ok()) {
            status = check_reachable(*built);
        }
        if (!status.ok()) {
            return status;
        }
        return built;
    }

  private:
    const document& file_;
    std::string_view source_;
    const vocabulary& bound_names_;
    std::vector<std::string> names_;
    std::map<std::string, state_index> index_;

    absl::StatusOr<symbol> resolve(std::span<const std::string> bound, std::string_view kind,
                                   std::string_view state_name, const std::string& text) const
    {
        const auto found = find_symbol(bound, text);
        if (!found.has_value()) {
            return chart_error(source_, state_name, core::concat(kind, " ", text, " is not bound"),
                               "use a name that the code binds");
        }
        return *found;
    }

    absl::StatusOr<std::vector<symbol>> resolve_actions(std::string_view state_name,
                                                        const document& list) const
    {
        std::vector<symbol> actions;
        for (const auto& item : list) {
            auto action =
                resolve(bound_names_.actions(), "action", state_name, item.get<std::string>());
            if (!action.ok()) {
                return action.status();
            }
            actions.push_back(*action);
        }
        return actions;
    }

    absl::StatusOr<std::optional<state_index>>
    resolve_state(std::string_view state_name, const document& body, const char* key) const
    {
        if (!body.contains(key)) {
            return std::optional<state_index>{};
        }
        const auto text = body[key].get<std::string>();
        const auto found = index_.find(text);
        if (found == index_.end()) {
            return chart_error(source_, state_name, core::concat(key, " ", text, " is not a state"),
                               "use the name of a state of this chart");
        }
        return std::optional<state_index>{found->second};
    }

    absl::StatusOr<transition> build_transition(std::string_view state_name, symbol event,
                                                const document& body) const
    {
        std::optional<symbol> guard;
        if (body.contains("guard")) {
            auto resolved = resolve(bound_names_.guards(), "guard", state_name,
                                    body["guard"].get<std::string>());
            if (!resolved.ok()) {
                return resolved.status();
            }
            guard = *resolved;
        }
        auto target = resolve_state(state_name, body, "target");
        if (!target.ok()) {
            return target.status();
        }
        auto actions = resolve_actions(state_name, body.value("actions", document::array()));
        if (!actions.ok()) {
            return actions.status();
        }
        return transition{event, guard, *target, *std::move(actions)};
    }

    absl::StatusOr<std::vector<transition>> build_transitions(std::string_view state_name,
                                                              const document& events) const
    {
        std::vector<transition> transitions;
        for (const auto& [event_name, list] : events.items()) {
            auto event = resolve(bound_names_.events(), "event", state_name, event_name);
            if (!event.ok()) {
                return event.status();
            }
            bool has_unguarded = false;
            std::set<symbol> guards;
            for (const auto& body : list) {
                auto built = build_transition(state_name, *event, body);
                if (!built.ok()) {
                    return built.status();
                }
                // Guarded transitions are tried in file order; one after an unguarded transition or
                // after one with the same guard could never be taken.
                if (has_unguarded ||
                    (built->guard.has_value() && !guards.insert(*built->guard).second)) {
                    return chart_error(source_, state_name,
                                       core::concat("event ", event_name, " is ambiguous"),
                                       "use each guard once and put the unguarded transition last");
                }
                has_unguarded = !built->guard.has_value();
                transitions.push_back(*std::move(built));
            }
        }
        return transitions;
    }

    absl::StatusOr<std::vector<state_timeout>> build_timeouts(std::string_view state_name,
                                                              const document& body) const
    {
        std::vector<state_timeout> timeouts;
        for (const auto& [timeout_name, event_name] : body.items()) {
            auto timeout = resolve(bound_names_.timeouts(), "timeout", state_name, timeout_name);
            auto event =
                resolve(bound_names_.events(), "event", state_name, event_name.get<std::string>());
            if (!timeout.ok()) {
                return timeout.status();
            }
            if (!event.ok()) {
                return event.status();
            }
            timeouts.push_back(state_timeout{*timeout, *event});
        }
        return timeouts;
    }

    absl::StatusOr<state> build_state(const std::string& state_name, const document& body) const
    {
        auto parent = resolve_state(state_name, body, "parent");
        auto entry = resolve_actions(state_name, body.value("entry", document::array()));
        auto exit = resolve_actions(state_name, body.value("exit", document::array()));
        auto timeouts = build_timeouts(state_name, body.value("timeouts", document::object()));
        auto transitions = build_transitions(state_name, body.value("on", document::object()));
        for (const absl::Status& status : {parent.status(), entry.status(), exit.status(),
                                           timeouts.status(), transitions.status()}) {
            if (!status.ok()) {
                return status;
            }
        }
        const bool is_final = body.value("final", false);
        if (is_final && !transitions->empty()) {
            return chart_error(source_, state_name, "a final state has transitions",
                               "remove the transitions or the final mark");
        }
        return state{state_name,       *parent,   *std::move(entry),
                     *std::move(exit), *timeouts, *std::move(transitions),
                     is_final};
    }

    absl::Status check_parents(const chart& built) const
    {
        for (state_index index = 0; index < names_.size(); ++index) {
            std::optional<state_index> current = built.at(index).parent;
            for (std::size_t depth = 0; current.has_value(); ++depth) {
                if (depth > names_.size()) {
                    return chart_error(source_, names_[index], "its parents form a cycle",
                                       "remove one of the parent entries");
                }
                current = built.at(*current).parent;
            }
        }
        return absl::OkStatus();
    }

    absl::Status check_reachable(const chart& built) const
    {
        std::set<state_index> reached;
        std::vector<state_index> pending{built.initial()};
        while (!pending.empty()) {
            const state_index index = pending.back();
            pending.pop_back();
            if (!reached.insert(index).second) {
                continue;
            }
            if (built.at(index).parent.has_value()) {
                pending.push_back(*built.at(index).parent);
            }
            for (const transition& outgoing : built.at(index).transitions) {
                if (outgoing.target.has_value()) {
                    pending.push_back(*outgoing.target);
                }
            }
        }
        for (state_index index = 0; index < names_.size(); ++index) {
            if (!reached.contains(index)) {
                return chart_error(source_, names_[index], "no transition leads to it",
                                   "remove the state or add a transition to it");
            }
        }
        return absl::OkStatus();
    }
};

/// Collects distinct names in order of first use.
class name_list {
  public:
    void add(const std::string& text)
    {
        if (seen_.insert(text).second) {
            names_.push_back(text);
        }
    }

    void add_all(const document& list)
    {
        for (const auto& item : list) {
            add(item.get<std::string>());
        }
    }

    [[nodiscard]] const std::vector<std::string>& names() const { return names_; }

  private:
    std::set<std::string> seen_;
    std::vector<std::string> names_;
};

} // namespace

absl::StatusOr<std::shared_ptr<const chart>> load(std::string_view text, std::string_view source,
                                                  const vocabulary& bound_names)
{
    auto parsed = parse_checked(text, source);
    if (!parsed.ok()) {
        return parsed.status();
    }
    return builder{*parsed, source, bound_names}.build();
}

absl::StatusOr<vocabulary> used_names(std::string_view text, std::string_view source)
{
    auto parsed = parse_checked(text, source);
    if (!parsed.ok()) {
        return parsed.status();
    }
    name_list events;
    name_list guards;
    name_list actions;
    name_list timeouts;
    for (const auto& [state_name, body] : (*parsed)["states"].items()) {
        actions.add_all(body.value("entry", document::array()));
        actions.add_all(body.value("exit", document::array()));
        const document after = body.value("timeouts", document::object());
        for (const auto& [timeout, event] : after.items()) {
            timeouts.add(timeout);
            events.add(event.get<std::string>());
        }
        const document on = body.value("on", document::object());
        for (const auto& [event, list] : on.items()) {
            events.add(event);
            for (const auto& transition_body : list) {
                if (transition_body.contains("guard")) {
                    guards.add(transition_body["guard"].get<std::string>());
                }
                actions.add_all(transition_body.value("actions", document::array()));
            }
        }
    }
    return vocabulary{events.names(), guards.names(), actions.names(), timeouts.names()};
}

} // namespace cyclamen::chart
