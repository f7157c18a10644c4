#pragma once

#include <deque>
#include <memory>
#include <vector>

#include "chart/library.hpp"
#include "lease/lease.hpp"

namespace cyclamen::test {

/// Table service with a single row.
struct fake_table {
    bool unavailable = false;
    /// Writes are applied, but their answers are lost.
    bool loses_answers = false;
    std::string value;
    api::row_version version;
    api::table_era era;

    /// Returns to an earlier row; what was written since is lost.
    void restore(const std::string& earlier_value, std::uint64_t earlier_version)
    {
        era = era.next();
        value = earlier_value;
        version = api::row_version{earlier_version, era};
    }

    api::table_event answer(const api::table_command& command)
    {
        const auto request = std::visit([](const auto& each) { return each.request; }, command);
        if (unavailable) {
            return api::table_failed{request, false, "down"};
        }
        const auto* commit = std::get_if<api::table_commit>(&command);
        if (commit == nullptr) {
            if (version.is_absent()) {
                return api::table_rows{request, {}, era};
            }
            return api::table_rows{request, {{key(), value, version}}, era};
        }
        if (commit->writes.front().expected != version) {
            return api::table_conflict{request, {{key(), value, version}}, era};
        }
        value = commit->writes.front().value;
        version = version.next();
        if (loses_answers) {
            return api::table_failed{request, true, "no answer"};
        }
        return api::table_committed{request, era};
    }

    static api::row_key key() { return {"leases", "orders"}; }
};

/// Engine that records the fencing numbers of its orders.
struct fake_engine {
    bool checks_fencing;
    lease::fencing_number highest{};
    int outdated_orders_executed = 0;

    void receive(lease::fencing_number fence)
    {
        if (fence >= highest) {
            highest = fence;
            return;
        }
        outdated_orders_executed += checks_fencing ? 0 : 1;
    }
};

/// One instance that competes for the lease.
struct fleet_member final : lease::lease_host {
    explicit fleet_member(std::size_t index)
        : instance_lease{
              {},
              {core::instance_name{"i" + std::to_string(index)}, core::incarnation{1}, {}},
              fake_table::key(),
              *chart::library::embedded().load("lease", lease::lease_vocabulary()),
              *this}
    {
    }

    void send(api::table_command command) override { commands.push_back(std::move(command)); }
    api::table_request next_request() override { return last = last.next(); }

    [[nodiscard]] bool may_order() const
    {
        return instance_lease.order_deadline(true, last_turn).has_value();
    }

    std::deque<api::table_command> commands;
    std::deque<api::table_event> answers;
    api::table_request last;
    core::instant last_turn{};
    core::instant paused_until{};
    core::duration pause_before_sending{};
    lease::lease instance_lease;
};

/// An order in transit to an engine.
struct order_in_transit {
    core::instant sent_at;
    core::instant send_before;
    lease::fencing_number fence;
    bool checks_fencing;
};

/// Instances, their table service and two engines in simulated time. One of the engines checks
/// fencing numbers.
class fleet {
  public:
    explicit fleet(std::size_t size)
    {
        for (std::size_t i = 0; i < size; ++i) {
            members_.push_back(std::make_unique<fleet_member>(i));
            members_.back()->instance_lease.start(now);
        }
    }

    void run(core::duration time)
    {
        constexpr core::duration step = std::chrono::milliseconds{100};
        for (core::duration passed{}; passed < time; passed += step) {
            now += step;
            for (const auto& instance : members_) {
                run_instance(*instance);
            }
            deliver_orders();
        }
    }

    fleet_member& member(std::size_t index) { return *members_.at(index); }

    [[nodiscard]] int holders() const
    {
        int count = 0;
        for (const auto& instance : members_) {
            count += instance->may_order() ? 1 : 0;
        }
        return count;
    }

    [[nodiscard]] std::size_t holder() const { return members_.front()->may_order() ? 0 : 1; }

    core::instant now{};
    fake_table table;
    fake_engine fenced_engine{true};
    fake_engine unfenced_engine{false};

  private:
    std::vector<std::unique_ptr<fleet_member>> members_;
    std::deque<order_in_transit> orders_;

    void run_instance(fleet_member& instance)
    {
        // The table service keeps answering while an instance is paused; the answers are queued.
        while (!instance.commands.empty()) {
            instance.answers.push_back(table.answer(instance.commands.front()));
            instance.commands.pop_front();
        }
        if (now < instance.paused_until) {
            return;
        }
        instance.last_turn = now;
        while (!instance.answers.empty()) {
            instance.instance_lease.on_table_event(instance.answers.front(), now);
            instance.answers.pop_front();
        }
        instance.instance_lease.on_timer(now);
        for (const bool checks : {true, false}) {
            const auto until = instance.instance_lease.order_deadline(checks, now);
            if (until.has_value()) {
                orders_.push_back({now + instance.pause_before_sending, *until,
                                   instance.instance_lease.fence(), checks});
            }
        }
        instance.pause_before_sending = {};
    }

    void deliver_orders()
    {
        std::deque<order_in_transit> waiting;
        for (const order_in_transit& order : orders_) {
            if (order.sent_at > now) {
                waiting.push_back(order);
            }
            else if (now < order.send_before) {
                (order.checks_fencing ? fenced_engine : unfenced_engine).receive(order.fence);
            }
        }
        orders_.swap(waiting);
    }
};

} // namespace cyclamen::test
