#pragma once

#include <deque>
#include <memory>
#include <vector>

#include "chart/library.hpp"
#include "lease/lease.hpp"

namespace cyclamen::test {

/// A table of one row.
struct fake_table {
    bool down = false;
    /// Writes take effect, but their answers get lost.
    bool lose_answers = false;
    std::string value;
    api::row_version version;

    api::table_event answer(const api::table_command& command)
    {
        const auto request = std::visit([](const auto& one) { return one.request; }, command);
        if (down) {
            return api::table_failed{request, false, "down"};
        }
        const auto* commit = std::get_if<api::table_commit>(&command);
        if (commit == nullptr) {
            if (version == api::row_version{}) {
                return api::table_rows{request, {}};
            }
            return api::table_rows{request, {{key(), value, version}}};
        }
        if (commit->writes.front().expected != version) {
            return api::table_conflict{request, {{key(), value, version}}};
        }
        value = commit->writes.front().value;
        version = version.next();
        if (lose_answers) {
            return api::table_failed{request, true, "no answer"};
        }
        return api::table_committed{request};
    }

    static api::row_key key() { return {"leases", "orders"}; }
};

/// An engine that notes who orders it.
struct fake_engine {
    bool checks_fencing;
    lease::fencing_number highest{};
    int old_orders_carried_out = 0;

    void receive(lease::fencing_number fence)
    {
        if (fence >= highest) {
            highest = fence;
            return;
        }
        old_orders_carried_out += checks_fencing ? 0 : 1;
    }
};

/// One instance that takes part in the lease.
struct fleet_member final : lease::lease_host {
    explicit fleet_member(std::size_t index)
        : held{{},
               {core::instance_name{"i" + std::to_string(index)}, core::incarnation{1}, {}},
               fake_table::key(),
               *chart::library::embedded().load("lease", lease::lease_vocabulary()),
               *this}
    {
    }

    void send(api::table_command command) override { commands.push_back(std::move(command)); }
    api::table_request next_request() override { return last = last.next(); }

    [[nodiscard]] bool may_order() const { return held.order_deadline(true, seen).has_value(); }

    std::deque<api::table_command> commands;
    std::deque<api::table_event> answers;
    api::table_request last;
    core::instant seen{};
    core::instant paused_until{};
    core::duration pause_before_sending{};
    lease::lease held;
};

/// An order between the decision and the engine.
struct order_on_the_way {
    core::instant sent_at;
    core::instant send_before;
    lease::fencing_number fence;
    bool checks_fencing;
};

/// Instances, their table and two engines in virtual time.
class fleet {
  public:
    explicit fleet(std::size_t size)
    {
        for (std::size_t i = 0; i < size; ++i) {
            members_.push_back(std::make_unique<fleet_member>(i));
            members_.back()->held.start(now);
        }
    }

    void run(core::duration time)
    {
        constexpr core::duration step = std::chrono::milliseconds{100};
        for (core::duration passed{}; passed < time; passed += step) {
            now += step;
            for (const auto& one : members_) {
                turn(*one);
            }
            deliver();
        }
    }

    fleet_member& member(std::size_t index) { return *members_.at(index); }

    [[nodiscard]] int holders() const
    {
        int count = 0;
        for (const auto& one : members_) {
            count += one->may_order() ? 1 : 0;
        }
        return count;
    }

    [[nodiscard]] std::size_t holder() const { return members_.front()->may_order() ? 0 : 1; }

    core::instant now{};
    fake_table table;
    fake_engine checking{true};
    fake_engine unchecking{false};

  private:
    std::vector<std::unique_ptr<fleet_member>> members_;
    std::deque<order_on_the_way> orders_;

    void turn(fleet_member& one)
    {
        // The table goes on while an instance is paused; its answers wait.
        while (!one.commands.empty()) {
            one.answers.push_back(table.answer(one.commands.front()));
            one.commands.pop_front();
        }
        if (now < one.paused_until) {
            return;
        }
        one.seen = now;
        while (!one.answers.empty()) {
            one.held.on_table_event(one.answers.front(), now);
            one.answers.pop_front();
        }
        one.held.on_timer(now);
        for (const bool checks : {true, false}) {
            const auto until = one.held.order_deadline(checks, now);
            if (until.has_value()) {
                orders_.push_back(
                    {now + one.pause_before_sending, *until, one.held.fence(), checks});
            }
        }
        one.pause_before_sending = {};
    }

    void deliver()
    {
        std::deque<order_on_the_way> waiting;
        for (const order_on_the_way& order : orders_) {
            if (order.sent_at > now) {
                waiting.push_back(order);
            }
            else if (now < order.send_before) {
                (order.checks_fencing ? checking : unchecking).receive(order.fence);
            }
        }
        orders_.swap(waiting);
    }
};

} // namespace cyclamen::test
