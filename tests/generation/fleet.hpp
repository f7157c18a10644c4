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

/// A message between two instances, under way.
struct message_under_way {
    api::checkpoint_party from;
    api::checkpoint_party to;
    api::checkpoint_message message;
};

/// One instance: decision code alone, with what it sends kept for the fleet.
class fleet_instance final : public generation::generation_output,
                             public generation::checkpoint_output {
  public:
    fleet_instance(int number, std::vector<message_under_way>& bus)
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
    void send(api::front_command command) override { answers.push_back(std::move(command)); }
    void send(const api::checkpoint_party& to, api::checkpoint_message message) override
    {
        bus_.push_back(message_under_way{party, to, std::move(message)});
    }

    const api::checkpoint_party party;
    const generation::checkpoint_peer peer;

  private:
    std::vector<message_under_way>& bus_;

  public:
    routing::fewest_open_chooser chooser;
    generation::checkpoint_service checkpoints;
    generation::generation_manager manager;
    std::vector<api::open_attempt> opened;
    std::vector<api::attempt_id> cancelled;
    std::vector<api::front_command> answers;
    bool paused = false;
    bool dead = false;
};

/// A caller that goes from instance to instance with one request key.
struct fleet_caller {
    std::uint64_t id = 0;
    std::size_t at = 0;
    bool streaming = true;
    std::vector<std::string> tokens;
    std::string branch;
    bool waits = false;
    bool complete = false;
    bool in_order = true;
    int fresh_starts = 0;
    std::vector<api::answer_failed> failures;
};

/// Some instances, a bus that the test steers, engines that produce provable tokens, and callers.
class fleet {
  public:
    static constexpr std::uint32_t answer_length = 8;

    explicit fleet(int count)
    {
        for (int i = 0; i < count; ++i) {
            instances.push_back(std::make_unique<fleet_instance>(i, bus));
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

    /// Sends a caller's request, with what it has, to an instance.
    void connect(fleet_caller& caller, std::size_t at)
    {
        caller.at = at;
        caller.id = ++last_caller_;
        caller.waits = !instances[at]->dead;
        if (instances[at]->paused || instances[at]->dead) {
            caller.waits = false;
            return;
        }
        const std::uint64_t held = caller.tokens.size();
        instances[at]->manager.on_request(
            api::generation_request{core::caller_id{caller.id}, "key", core::request_key{"k"},
                                    core::service_name{"notices"}, "a prompt", answer_length,
                                    caller.streaming, caller.streaming ? held : 0,
                                    std::chrono::seconds{60}, caller.branch},
            clock.now());
        read_answers();
    }

    /// The connection of a caller breaks.
    void disconnect(fleet_caller& caller)
    {
        fleet_instance& instance = *instances[caller.at];
        if (caller.waits && !instance.paused && !instance.dead) {
            instance.manager.on_caller_gone(core::caller_id{caller.id}, clock.now());
        }
        caller.waits = false;
    }

    /// An instance dies; the connections of its callers break.
    void kill(std::size_t at)
    {
        instances[at]->dead = true;
        for (fleet_caller* caller : callers) {
            caller->waits = caller->waits && caller->at != at;
        }
    }

    void deliver(std::size_t index)
    {
        const message_under_way message = bus[index];
        drop(index);
        for (const auto& each : instances) {
            if (each->party == message.to && !each->dead) {
                each->checkpoints.on_message(message.from, message.message, clock.now());
            }
        }
        read_answers();
    }

    void drop(std::size_t index)
    {
        std::vector<message_under_way> rest;
        for (std::size_t i = 0; i < bus.size(); ++i) {
            if (i != index) {
                rest.push_back(bus[i]);
            }
        }
        bus.swap(rest);
    }

    [[nodiscard]] bool is_stopped(const api::checkpoint_party& party) const
    {
        for (const auto& each : instances) {
            if (each->party == party) {
                return each->paused;
            }
        }
        return false;
    }

    /// Lets the newest attempt of an instance produce tokens.
    void produce(std::size_t at, std::uint64_t count)
    {
        fleet_instance& instance = *instances[at];
        if (instance.paused || instance.dead || instance.opened.empty()) {
            return;
        }
        const api::open_attempt& open = instance.opened.back();
        auto& run = runs_[{at, instance.opened.size()}];
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
        read_answers();
    }

    void pass(core::duration time)
    {
        clock.advance(time);
        for (const auto& each : instances) {
            if (!each->paused && !each->dead) {
                each->checkpoints.on_timer(clock.now());
                each->manager.on_timer(clock.now());
            }
        }
        read_answers();
    }

    /// Hands the answers of the instances to the callers that wait there.
    void read_answers()
    {
        for (std::size_t at = 0; at < instances.size(); ++at) {
            std::vector<api::front_command> answers;
            answers.swap(instances[at]->answers);
            for (const api::front_command& answer : answers) {
                for (fleet_caller* caller : callers) {
                    std::visit([&](const auto& each) { take(*caller, at, each); }, answer);
                }
            }
        }
    }

    std::vector<message_under_way> bus;
    core::manual_clock clock;
    std::vector<std::unique_ptr<fleet_instance>> instances;
    std::vector<fleet_caller*> callers;

  private:
    struct engine_run {
        standin::token_chain chain;
        std::uint64_t next;
        std::uint32_t variant;
    };

    std::map<std::pair<std::size_t, std::size_t>, std::optional<engine_run>> runs_;
    std::uint64_t last_caller_ = 0;
    std::uint32_t variant_ = 0;

    static bool is_for(const fleet_caller& caller, std::size_t at, core::caller_id id)
    {
        return caller.waits && caller.at == at && caller.id == id.value();
    }

    static void take(fleet_caller& caller, std::size_t at, const api::answer_tokens& answer)
    {
        if (!is_for(caller, at, answer.caller)) {
            return;
        }
        // One that waits for the whole answer starts over with each connection.
        if (!caller.streaming && answer.first == 0) {
            caller.tokens.clear();
        }
        caller.in_order = caller.in_order && answer.first == caller.tokens.size();
        caller.tokens.insert(caller.tokens.end(), answer.tokens.begin(), answer.tokens.end());
        caller.branch = answer.branch;
    }
    static void take(fleet_caller& caller, std::size_t at, const api::answer_complete& answer)
    {
        if (is_for(caller, at, answer.caller)) {
            caller.complete = true;
            caller.waits = false;
        }
    }
    static void take(fleet_caller& caller, std::size_t at, const api::answer_failed& answer)
    {
        if (is_for(caller, at, answer.caller)) {
            caller.failures.push_back(answer);
            caller.waits = false;
        }
    }
    template <class Other>
    static void take(fleet_caller& /*caller*/, std::size_t /*at*/, const Other& /*answer*/)
    {
    }
};

/// @return true where the caller has every token of one answer, in order
inline bool has_whole_answer(const fleet_caller& caller)
{
    std::string text;
    for (const std::string& token : caller.tokens) {
        text += token;
    }
    return caller.complete && caller.in_order &&
           standin::check_answer("a prompt", "v1", text).is_whole(fleet::answer_length);
}

} // namespace cyclamen::test
