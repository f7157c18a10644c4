#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "generation/fake_output.hpp"
#include "routing/fewest_open_chooser.hpp"
#include "standin/token_chain.hpp"

namespace cyclamen::test {

/// A message in flight between two instances.
struct in_flight_message {
    api::checkpoint_party from;
    api::checkpoint_party to;
    api::checkpoint_message message;
};

/// One instance, reduced to its decision code. Its messages are collected for the cluster to
/// deliver.
class simulated_instance final : public generation::generation_output,
                                 public generation::checkpoint_output {
  public:
    simulated_instance(int number, std::vector<in_flight_message>& bus)
        : party{core::instance_name{"i" + std::to_string(number)}, core::incarnation{1}},
          peer{party, core::failure_domain_name{"d" + std::to_string(number)}}, bus_{bus},
          checkpoints{
              peer,
              {},
              {*chart::library::embedded().load("checkpoint", generation::checkpoint_vocabulary()),
               *chart::library::embedded().load("takeover", generation::takeover_vocabulary())},
              *this},
          manager{{}, generation_chart(), chooser, *this}
    {
        manager.use_checkpoints(checkpoints, party.name.str());
        manager.configure(make_configuration());
    }

    void send(api::engine_command command) override
    {
        if (const auto* open = std::get_if<api::open_attempt>(&command)) {
            opened.push_back(*open);
        }
        else if (const auto* cancel = std::get_if<api::cancel_attempt>(&command)) {
            cancelled.push_back(cancel->attempt);
        }
    }
    void send(api::front_command command) override { commands.push_back(std::move(command)); }
    void send(const api::checkpoint_party& to, api::checkpoint_message message) override
    {
        bus_.push_back(in_flight_message{party, to, std::move(message)});
    }

    const api::checkpoint_party party;
    const generation::checkpoint_peer peer;

  private:
    std::vector<in_flight_message>& bus_;

  public:
    routing::fewest_open_chooser chooser;
    generation::checkpoint_service checkpoints;
    generation::generation_manager manager;
    std::vector<api::open_attempt> opened;
    std::vector<api::attempt_id> cancelled;
    std::vector<api::front_command> commands;
    bool paused = false;
    bool dead = false;
};

/// A caller that may reconnect to any instance with the same request key.
struct simulated_caller {
    std::uint64_t id = 0;
    std::size_t instance_index = 0;
    bool streaming = true;
    std::vector<std::string> tokens;
    std::string branch;
    bool is_waiting = false;
    bool complete = false;
    bool in_order = true;
    int restarts = 0;
    std::vector<api::answer_failed> failures;
};

/// Instances, a message bus that the test controls, engines whose tokens can be verified, and
/// callers.
class simulated_cluster {
  public:
    static constexpr std::uint32_t answer_length = 8;

    explicit simulated_cluster(int count)
    {
        for (int i = 0; i < count; ++i) {
            instances.push_back(std::make_unique<simulated_instance>(i, bus));
        }
        for (const auto& each : instances) {
            std::vector<generation::checkpoint_peer> peers;
            for (const auto& other : instances) {
                if (other != each) {
                    peers.push_back(other->peer);
                }
            }
            each->checkpoints.set_peers(peers, clock.now());
        }
    }

    /// Sends a caller's request with its current position to an instance.
    void connect(simulated_caller& caller, std::size_t instance_index)
    {
        caller.instance_index = instance_index;
        caller.id = ++last_caller_;
        caller.is_waiting = !instances[instance_index]->dead;
        if (instances[instance_index]->paused || instances[instance_index]->dead) {
            caller.is_waiting = false;
            return;
        }
        const std::uint64_t held = caller.tokens.size();
        instances[instance_index]->manager.on_request(
            api::generation_request{core::caller_id{caller.id}, "key", core::request_key{"k"},
                                    core::service_name{"notices"}, "a prompt", answer_length,
                                    caller.streaming, caller.streaming ? held : 0,
                                    std::chrono::seconds{60}, caller.branch},
            clock.now());
        deliver_answers();
    }

    /// Breaks the connection of a caller.
    void disconnect(simulated_caller& caller)
    {
        simulated_instance& instance = *instances[caller.instance_index];
        if (caller.is_waiting && !instance.paused && !instance.dead) {
            instance.manager.on_caller_gone(core::caller_id{caller.id}, clock.now());
        }
        caller.is_waiting = false;
    }

    /// Stops an instance for good and breaks the connections of its callers.
    void kill(std::size_t instance_index)
    {
        instances[instance_index]->dead = true;
        for (simulated_caller* caller : callers) {
            caller->is_waiting = caller->is_waiting && caller->instance_index != instance_index;
        }
    }

    void deliver(std::size_t index)
    {
        const in_flight_message message = bus[index];
        drop(index);
        for (const auto& each : instances) {
            if (each->party == message.to && !each->dead) {
                each->checkpoints.on_message(message.from, message.message, clock.now());
            }
        }
        deliver_answers();
    }

    void drop(std::size_t index)
    {
        std::vector<in_flight_message> rest;
        for (std::size_t i = 0; i < bus.size(); ++i) {
            if (i != index) {
                rest.push_back(bus[i]);
            }
        }
        bus.swap(rest);
    }

    [[nodiscard]] bool is_paused(const api::checkpoint_party& party) const
    {
        for (const auto& each : instances) {
            if (each->party == party) {
                return each->paused;
            }
        }
        return false;
    }

    /// Makes the newest attempt of an instance produce tokens.
    void produce(std::size_t instance_index, std::uint64_t count)
    {
        simulated_instance& instance = *instances[instance_index];
        if (instance.paused || instance.dead || instance.opened.empty()) {
            return;
        }
        const api::open_attempt& open = instance.opened.back();
        auto& run = runs_[{instance_index, instance.opened.size()}];
        if (!run.has_value()) {
            run.emplace(
                engine_run{standin::token_chain{open.prompt, "v1"}, open.first, ++variant_});
        }
        std::vector<std::string> tokens;
        const std::uint64_t first = run->next;
        while (tokens.size() < count && run->next < open.first + open.max_tokens) {
            tokens.push_back(run->chain.next(run->variant));
            ++run->next;
        }
        if (!tokens.empty()) {
            instance.manager.on_engine_event(api::attempt_tokens{open.attempt, first, tokens},
                                             clock.now());
        }
        if (run->next == open.first + open.max_tokens) {
            instance.manager.on_engine_event(api::attempt_finished{open.attempt}, clock.now());
        }
        deliver_answers();
    }

    void advance(core::duration time)
    {
        clock.advance(time);
        for (const auto& each : instances) {
            if (!each->paused && !each->dead) {
                each->checkpoints.on_timer(clock.now());
                each->manager.on_timer(clock.now());
            }
        }
        deliver_answers();
    }

    /// Passes the answers of the instances to the callers that wait there.
    void deliver_answers()
    {
        for (std::size_t instance_index = 0; instance_index < instances.size(); ++instance_index) {
            std::vector<api::front_command> commands;
            commands.swap(instances[instance_index]->commands);
            for (const api::front_command& answer : commands) {
                for (simulated_caller* caller : callers) {
                    std::visit([&](const auto& each) { receive(*caller, instance_index, each); },
                               answer);
                }
            }
        }
    }

    std::vector<in_flight_message> bus;
    core::manual_clock clock;
    std::vector<std::unique_ptr<simulated_instance>> instances;
    std::vector<simulated_caller*> callers;

  private:
    struct engine_run {
        standin::token_chain chain;
        std::uint64_t next;
        std::uint32_t variant;
    };

    std::map<std::pair<std::size_t, std::size_t>, std::optional<engine_run>> runs_;
    std::uint64_t last_caller_ = 0;
    std::uint32_t variant_ = 0;

    static bool is_for(const simulated_caller& caller, std::size_t instance_index,
                       core::caller_id id)
    {
        return caller.is_waiting && caller.instance_index == instance_index &&
               caller.id == id.value();
    }

    static void receive(simulated_caller& caller, std::size_t instance_index,
                        const api::answer_tokens& answer)
    {
        if (!is_for(caller, instance_index, answer.caller)) {
            return;
        }
        // A caller without streaming receives the answer from its start on each connection.
        if (!caller.streaming && answer.first == 0) {
            caller.tokens.clear();
        }
        caller.in_order = caller.in_order && answer.first == caller.tokens.size();
        caller.tokens.insert(caller.tokens.end(), answer.tokens.begin(), answer.tokens.end());
        caller.branch = answer.branch;
    }
    static void receive(simulated_caller& caller, std::size_t instance_index,
                        const api::answer_complete& answer)
    {
        if (is_for(caller, instance_index, answer.caller)) {
            caller.complete = true;
            caller.is_waiting = false;
        }
    }
    static void receive(simulated_caller& caller, std::size_t instance_index,
                        const api::answer_failed& answer)
    {
        if (is_for(caller, instance_index, answer.caller)) {
            caller.failures.push_back(answer);
            caller.is_waiting = false;
        }
    }
    template <class Other>
    static void receive(simulated_caller& /*caller*/, std::size_t /*instance_index*/,
                        const Other& /*answer*/)
    {
    }
};

/// @return true if the caller has received every token of one answer, in order
inline bool has_whole_answer(const simulated_caller& caller)
{
    std::string text;
    for (const std::string& token : caller.tokens) {
        text += token;
    }
    return caller.complete && caller.in_order &&
           standin::check_answer("a prompt", "v1", text)
               .is_complete(simulated_cluster::answer_length);
}

} // namespace cyclamen::test
