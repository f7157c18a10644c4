#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "call/call_manager.hpp"
#include "call/naive_call_handler.hpp"
#include "call/table_claim_store.hpp"
#include "chart/library.hpp"
#include "core/clock.hpp"
#include "model/client_account.hpp"
#include "routing/fewest_open_chooser.hpp"
#include "table/memory_table.hpp"

namespace cyclamen::test {

using namespace std::chrono_literals;

/// How the store handles one command.
enum class store_behaviour {
    answers,
    refuses,
    applies_and_loses_answer,
    drops,
    applies_late,
    answers_slowly
};

/// How the service handles one call.
enum class service_behaviour {
    answers,
    refuses_connection,
    runs_and_loses_answer,
    drops,
    answers_late,
    answers_slowly
};

inline model::configuration_ptr call_configuration()
{
    std::vector<model::target> targets;
    for (int i = 0; i < 2; ++i) {
        targets.push_back(model::target{core::target_name{"filing" + std::to_string(i)},
                                        core::service_name{"filing"},
                                        core::version_name{"v1"},
                                        {"127.0.0.1", static_cast<std::uint16_t>(1 + i)},
                                        core::failure_domain_name{"regina"},
                                        {},
                                        true});
    }
    return std::make_shared<const model::configuration>(model::configuration{
        core::revision{1},
        {model::service{core::service_name{"filing"}, model::service_kind::plain,
                        core::version_name{"v1"}}},
        std::move(targets),
        {model::client_account{core::account_name{"chain"}, model::hash_key("key"), {}, 1, 0}}});
}

/// Result of one send of a request.
struct send_result {
    bool answered = false;
    std::string body;
    std::optional<core::failure> failure;
};

/// Simulates instances, the table and the service in virtual time. The functions
/// next_store_behaviour and next_service_behaviour inject faults.
class call_simulation {
  public:
    std::function<store_behaviour()> next_store_behaviour = [] { return store_behaviour::answers; };
    std::function<service_behaviour()> next_service_behaviour = [] {
        return service_behaviour::answers;
    };

    core::manual_clock clock;
    table::memory_table table;
    /// Number of runs at the service, by request key and by send.
    std::map<std::string, int> runs;
    std::map<std::string, int> runs_of_send;
    std::map<std::uint64_t, send_result> results;
    std::uint64_t table_commits = 0;

    explicit call_simulation(std::size_t instance_count, bool is_naive = false)
        : is_naive_{is_naive}
    {
        for (std::size_t i = 0; i < instance_count; ++i) {
            instances_.push_back(make_instance());
        }
    }

    /// Sends a request to an instance.
    /// @return id of the caller, which also identifies the send
    std::uint64_t send(std::size_t instance, const std::string& key, bool is_repeat = false,
                       const std::string& method = "POST", const std::string& body = "a filing")
    {
        const std::uint64_t caller = ++last_caller_;
        const api::call_request request{core::caller_id{caller},
                                        "key",
                                        core::request_key{key},
                                        is_repeat,
                                        core::service_name{"filing"},
                                        method,
                                        "/file",
                                        {{"x-key", key}, {"x-send", std::to_string(caller)}},
                                        body};
        deliver(instances_.at(instance), [this, request](simulated_instance& to) {
            to.handler->on_request(request, clock.now());
        });
        return caller;
    }

    /// Reports to an instance that a caller has disconnected.
    void disconnect(std::size_t instance, std::uint64_t caller)
    {
        deliver(instances_.at(instance), [this, caller](simulated_instance& to) {
            to.handler->on_caller_gone(core::caller_id{caller}, clock.now());
        });
    }

    /// Crashes an instance; a new incarnation starts immediately.
    void crash(std::size_t instance) { instances_.at(instance) = make_instance(); }

    /// Pauses an instance; messages that arrive meanwhile are delivered afterwards.
    void pause(std::size_t instance, core::duration time)
    {
        instances_.at(instance)->paused_until = clock.now() + time;
    }

    /// Schedules an action.
    void at(core::duration delay, std::function<void()> action)
    {
        events_.emplace(std::pair{clock.now() + delay, ++last_event_}, std::move(action));
    }

    /// Advances virtual time and runs all events that fall due.
    void run(core::duration time)
    {
        const core::instant end = clock.now() + time;
        while (true) {
            const core::instant next = next_instant();
            if (next > end) {
                break;
            }
            if (next > clock.now()) {
                clock.advance(next - clock.now());
            }
            step();
        }
        clock.advance(end - clock.now());
    }

  private:
    struct simulated_instance final : call::call_output, table::restore_listener {
        simulated_instance(call_simulation& owner, bool is_naive, int incarnation)
            : simulation{owner}, client{{},
                                        [this](api::table_command command) {
                                            simulation.on_table_command(self.lock(),
                                                                        std::move(command));
                                        }},
              store{client}
        {
            if (is_naive) {
                handler = std::make_unique<call::naive_call_handler>(call::call_settings{}, chooser,
                                                                     *this);
            }
            else {
                auto created = std::make_unique<call::call_manager>(
                    call::call_settings{}, "incarnation" + std::to_string(incarnation),
                    *chart::library::embedded().load("call", call::call_vocabulary()), chooser,
                    store, *this);
                manager = created.get();
                handler = std::move(created);
                client.add_restore_listener(*this);
            }
            handler->configure(call_configuration());
        }

        void on_table_restored(core::instant now) override { manager->on_store_restored(now); }
        void send(api::service_command command) override
        {
            if (const auto* open = std::get_if<api::open_call>(&command)) {
                simulation.on_call(self.lock(), *open);
            }
        }
        void send(api::call_answer answer) override
        {
            send_result& result = simulation.results[answer.caller.value()];
            result.answered = true;
            result.body = answer.response.body;
        }
        void send(api::call_failed failed) override
        {
            simulation.results[failed.caller.value()].failure.emplace(failed.reason);
        }

        call_simulation& simulation;
        std::weak_ptr<simulated_instance> self;
        routing::fewest_open_chooser chooser;
        table::table_client client;
        call::table_claim_store store;
        std::unique_ptr<call::call_handler> handler;
        call::call_manager* manager = nullptr;
        core::instant paused_until{};
    };
    using instance_ptr = std::shared_ptr<simulated_instance>;

    const bool is_naive_;
    std::vector<instance_ptr> instances_;
    std::map<std::pair<core::instant, std::uint64_t>, std::function<void()>> events_;
    std::uint64_t last_event_ = 0;
    std::uint64_t last_caller_ = 0;
    int incarnations_ = 0;

    instance_ptr make_instance()
    {
        auto created = std::make_shared<simulated_instance>(*this, is_naive_, ++incarnations_);
        created->self = created;
        return created;
    }

    /// Delivers a message to an instance: after the pause if it is paused, never if it has crashed.
    void deliver(const instance_ptr& to, std::function<void(simulated_instance&)> message)
    {
        if (to == nullptr || to != find(to)) {
            return;
        }
        if (to->paused_until > clock.now()) {
            at(to->paused_until - clock.now(),
               [this, weak = to->self, message] { deliver(weak.lock(), message); });
            return;
        }
        message(*to);
    }

    [[nodiscard]] instance_ptr find(const instance_ptr& wanted) const
    {
        for (const instance_ptr& each : instances_) {
            if (each == wanted) {
                return each;
            }
        }
        return nullptr;
    }

    [[nodiscard]] core::instant next_instant() const
    {
        core::instant next = core::instant::max();
        if (!events_.empty()) {
            next = events_.begin()->first.first;
        }
        for (const instance_ptr& each : instances_) {
            for (const auto& due : {each->client.next_deadline(), each->handler->next_deadline()}) {
                if (due.has_value()) {
                    next = std::min(next, std::max(*due, each->paused_until));
                }
            }
        }
        return std::max(next, clock.now());
    }

    void step()
    {
        while (!events_.empty() && events_.begin()->first.first <= clock.now()) {
            const auto event = events_.extract(events_.begin());
            event.mapped()();
        }
        const auto due_instances = instances_;
        for (const instance_ptr& each : due_instances) {
            if (each->paused_until <= clock.now()) {
                each->client.on_timer(clock.now());
                each->handler->on_timer(clock.now());
            }
        }
    }

    void answer_later(const instance_ptr& to, core::duration delay, api::table_event event)
    {
        at(delay, [this, weak = std::weak_ptr{to}, event] {
            deliver(weak.lock(), [this, event](simulated_instance& each) {
                each.client.on_event(event, clock.now());
            });
        });
    }

    void on_table_command(const instance_ptr& from, api::table_command command)
    {
        const api::table_request request_id =
            std::visit([](const auto& each) { return each.request; }, command);
        const bool writes = std::holds_alternative<api::table_commit>(command);
        table_commits += writes ? 1 : 0;
        const auto lose_answer = [&] {
            answer_later(from, 800ms, api::table_failed{request_id, writes, "no answer"});
        };
        switch (next_store_behaviour()) {
        case store_behaviour::answers:
            return apply_later(from, 2ms, 3ms, command);
        case store_behaviour::refuses:
            return answer_later(from, 1ms, api::table_failed{request_id, false, "refused"});
        case store_behaviour::applies_and_loses_answer:
            at(2ms, [this, command] { std::ignore = table.apply(command); });
            return lose_answer();
        case store_behaviour::drops:
            return lose_answer();
        case store_behaviour::applies_late:
            at(3s, [this, command] { std::ignore = table.apply(command); });
            return lose_answer();
        case store_behaviour::answers_slowly:
            return apply_later(from, 300ms, 300ms, command);
        }
    }

    void apply_later(const instance_ptr& from, core::duration request_delay,
                     core::duration answer_delay, const api::table_command& command)
    {
        at(request_delay, [this, weak = std::weak_ptr{from}, answer_delay, command] {
            const api::table_event answer = table.apply(command);
            if (const instance_ptr to = weak.lock()) {
                answer_later(to, answer_delay, answer);
            }
        });
    }

    static std::string header(const api::open_call& call, const std::string& name)
    {
        for (const api::header_field& each : call.headers) {
            if (each.name == name) {
                return each.value;
            }
        }
        return {};
    }

    std::string run_at_service(const api::open_call& call)
    {
        const std::string key = header(call, "x-key");
        ++runs_of_send[header(call, "x-send")];
        return "filed " + key + " as number " + std::to_string(++runs[key]);
    }

    void send_event(const instance_ptr& to, core::duration delay, api::service_event event)
    {
        at(delay, [this, weak = std::weak_ptr{to}, event] {
            deliver(weak.lock(), [this, event](simulated_instance& each) {
                each.handler->on_service_event(event, clock.now());
            });
        });
    }

    void run_later(const instance_ptr& from, core::duration delay, const api::open_call& call,
                   bool loses_answer)
    {
        at(delay, [this, weak = std::weak_ptr{from}, call, loses_answer] {
            const std::string body = run_at_service(call);
            const instance_ptr to = weak.lock();
            if (to == nullptr) {
                return;
            }
            if (loses_answer) {
                send_event(to, 1ms, api::call_lost{call.attempt, true, "reset"});
                return;
            }
            send_event(to, 1ms, api::call_answered{call.attempt, {200, {}, body}});
        });
    }

    void on_call(const instance_ptr& from, const api::open_call& call)
    {
        switch (next_service_behaviour()) {
        case service_behaviour::answers:
            return run_later(from, 5ms, call, false);
        case service_behaviour::refuses_connection:
            return send_event(from, 1ms, api::call_lost{call.attempt, false, "refused"});
        case service_behaviour::runs_and_loses_answer:
            return run_later(from, 5ms, call, true);
        case service_behaviour::drops:
            return send_event(from, 5ms, api::call_lost{call.attempt, true, "reset"});
        case service_behaviour::answers_late:
            return run_later(from, 12s, call, false);
        case service_behaviour::answers_slowly:
            send_event(from, 2ms, api::call_sent{call.attempt});
            return run_later(from, 3s, call, false);
        }
    }
};

} // namespace cyclamen::test
