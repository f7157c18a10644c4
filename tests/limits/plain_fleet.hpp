#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "limits/send_policy.hpp"

namespace cyclamen::test {

using namespace std::chrono_literals;

/// Load pattern: calls a second at each instant, and what fails meanwhile, in seconds.
struct plain_load_pattern {
    const std::function<double(double)> calls_per_second;
    const std::size_t instances = 118;
    /// The first targets are away between two instants.
    const std::size_t away_targets = 0;
    const double away_from = 0.0;
    const double away_until = 0.0;
    /// All instances lose their state.
    const double killed_at = -1.0;
    /// The first instances neither receive nor send between two instants.
    const std::size_t frozen = 0;
    const double frozen_from = 0.0;
    const double frozen_until = 0.0;
};

/// What became of the calls that arrived in a time span.
struct plain_result {
    std::size_t calls = 0;
    std::size_t in_goal = 0;
    std::size_t late = 0;
    std::size_t refused = 0;
    /// Calls that reached a target, and those that were rejected there.
    std::size_t arrivals = 0;
    std::size_t rejected = 0;
    core::duration longest_wait{};
};

/// Plain targets with short queues, and instances that send calls there. Callers return once after
/// a refusal. Simulated in steps of one millisecond.
class plain_fleet {
  public:
    static constexpr std::size_t target_count = 3;
    static constexpr std::uint32_t slots = 6;
    static constexpr std::size_t queue_length = 24;
    static constexpr core::duration goal = 150ms;
    static constexpr core::duration deadline = 1500ms;
    /// Calls a second that the targets answer.
    static constexpr double capacity = target_count * slots / 0.030;

    using policy_factory = std::function<std::unique_ptr<limits::send_policy>()>;

    plain_fleet(plain_load_pattern pattern, policy_factory make_policy)
        : pattern_{std::move(pattern)}, make_policy_{std::move(make_policy)}
    {
        start_instances();
    }

    void run(double seconds)
    {
        double due = 0.0;
        for (; to_seconds(now_) < seconds; now_ += 1ms) {
            if (pattern_.killed_at >= 0.0 && now_ == at(pattern_.killed_at)) {
                kill_instances();
            }
            for (std::size_t i = 0; i < target_count; ++i) {
                advance(i);
            }
            while (!events_.empty() && events_.begin()->first <= now_) {
                const auto event = events_.begin()->second;
                events_.erase(events_.begin());
                event();
            }
            for (due += pattern_.calls_per_second(to_seconds(now_)) / 1000.0; due >= 1.0; --due) {
                calls_.push_back(std::make_unique<call>(call{now_}));
                submit(calls_.back().get());
            }
        }
    }

    [[nodiscard]] plain_result result(double from, double until) const
    {
        plain_result sum;
        for (const auto& each : calls_) {
            if (each->arrived >= at(from) && each->arrived < at(until)) {
                ++sum.calls;
                const core::duration took = each->answered - each->arrived;
                const bool answered = each->answered > core::instant{} && took <= deadline;
                sum.in_goal += answered && took <= goal ? 1 : 0;
                sum.late += answered && took > goal ? 1 : 0;
                sum.refused += each->refusals > 0 ? 1 : 0;
                sum.arrivals += each->arrivals;
                sum.rejected += each->rejections;
                sum.longest_wait = std::max(sum.longest_wait, each->longest_wait);
            }
        }
        return sum;
    }

  private:
    static constexpr core::duration hop = 3ms;
    static constexpr std::size_t max_rejections = 4;
    static constexpr std::size_t max_returns = 1;

    struct call {
        core::instant arrived;
        std::size_t instance = 0;
        std::size_t epoch = 0;
        core::instant accepted{};
        core::instant answered{};
        std::size_t refusals = 0;
        std::size_t arrivals = 0;
        std::size_t rejections = 0;
        std::size_t attempts = 0;
        core::duration longest_wait{};
        std::vector<std::size_t> full = {};
    };
    struct attempt {
        call* of;
        core::instant sent;
        core::instant ends{};
    };
    struct target {
        std::vector<attempt> running;
        std::vector<attempt> queue;
    };

    const plain_load_pattern pattern_;
    const policy_factory make_policy_;
    core::instant now_{1s};
    std::mt19937 random_{20261206};
    std::size_t epoch_ = 0;
    std::vector<std::unique_ptr<limits::send_policy>> policies_;
    std::vector<target> targets_{target_count};
    std::vector<std::unique_ptr<call>> calls_;
    std::multimap<core::instant, std::function<void()>> events_;

    static double to_seconds(core::instant when)
    {
        return core::to_seconds(when.time_since_epoch() - 1s);
    }
    static core::instant at(double seconds)
    {
        return core::instant{1s} +
               std::chrono::milliseconds{static_cast<std::int64_t>(seconds * 1000.0)};
    }
    static core::target_name name_of(std::size_t index)
    {
        return core::target_name{"p-" + std::to_string(index)};
    }
    [[nodiscard]] bool is_away(std::size_t index) const
    {
        return index < pattern_.away_targets && now_ >= at(pattern_.away_from) &&
               now_ < at(pattern_.away_until);
    }
    [[nodiscard]] core::instant thawed_at(const call& of) const
    {
        const bool frozen = of.instance < pattern_.frozen && now_ >= at(pattern_.frozen_from) &&
                            now_ < at(pattern_.frozen_until);
        return frozen ? at(pattern_.frozen_until) : now_;
    }

    void start_instances()
    {
        policies_.clear();
        for (std::size_t i = 0; i < pattern_.instances; ++i) {
            policies_.push_back(make_policy_());
            policies_.back()->set_instances(pattern_.instances, now_);
            for (std::size_t t = 0; t < target_count; ++t) {
                policies_.back()->on_listed(name_of(t), slots);
            }
        }
    }
    void kill_instances()
    {
        ++epoch_;
        start_instances();
    }

    void submit(call* of)
    {
        of->instance = random_() % pattern_.instances;
        of->epoch = epoch_;
        of->accepted = now_;
        of->attempts = 0;
        of->full.clear();
        seek(of);
    }
    /// Runs the step of a call at its instance, when that isn't frozen, unless it was killed.
    void at_instance(call* of, core::duration after, std::function<void()> step)
    {
        events_.emplace(now_ + after, [this, of, step = std::move(step)] {
            const core::instant thawed = thawed_at(*of);
            if (of->epoch != epoch_) {
                return;
            }
            if (thawed > now_) {
                at_instance(of, thawed - now_, step);
                return;
            }
            step();
        });
    }
    void seek(call* of)
    {
        std::vector<std::size_t> order;
        for (std::size_t i = 0; i < target_count; ++i) {
            if (const std::size_t t = (of->instance + i) % target_count; !is_away(t)) {
                order.push_back(t);
            }
        }
        std::stable_partition(order.begin(), order.end(), [&](std::size_t t) {
            return std::find(of->full.begin(), of->full.end(), t) == of->full.end();
        });
        std::vector<core::target_name> names;
        std::transform(order.begin(), order.end(), std::back_inserter(names), name_of);
        const auto decision = policies_[of->instance]->decide(
            limits::send_request{reinterpret_cast<std::uint64_t>(of), 1, of->accepted,
                                 of->accepted + goal, of->arrived + deadline, names},
            now_);
        of->longest_wait = std::max(of->longest_wait, now_ - of->accepted);
        if (decision.verdict == limits::send_verdict::send) {
            const auto index = static_cast<std::size_t>(
                std::find(names.begin(), names.end(), decision.target) - names.begin());
            policies_[of->instance]->on_sent(decision.target, now_);
            offer(of, order[index]);
        }
        else if (decision.verdict == limits::send_verdict::wait) {
            at_instance(of, decision.ask_at - now_, [this, of] { seek(of); });
        }
        else {
            refuse(of, decision.retry_after);
        }
    }
    void offer(call* of, std::size_t index)
    {
        ++of->attempts;
        ++of->arrivals;
        target& full = targets_[index];
        if (full.queue.size() >= queue_length) {
            ++of->rejections;
            at_instance(of, hop, [this, of, index] {
                policies_[of->instance]->on_rejected(name_of(index), now_);
                of->full.push_back(index);
                if (of->attempts < max_rejections) {
                    seek(of);
                }
                else {
                    policies_[of->instance]->on_ended(reinterpret_cast<std::uint64_t>(of));
                    refuse(of, 300ms);
                }
            });
            return;
        }
        full.queue.push_back(attempt{of, now_});
    }
    void refuse(call* of, core::duration retry_after)
    {
        const core::duration left = of->arrived + deadline - now_;
        if (++of->refusals <= max_returns && left > core::duration::zero()) {
            events_.emplace(now_ + std::min(retry_after, left / 3), [this, of] { submit(of); });
        }
    }
    void advance(std::size_t index)
    {
        target& each = targets_[index];
        if (is_away(index)) {
            each = target{};
            return;
        }
        std::erase_if(each.running, [&](const attempt& done) {
            if (done.ends > now_) {
                return false;
            }
            at_instance(done.of, hop, [this, done, index] {
                done.of->answered = now_;
                policies_[done.of->instance]->on_answered(name_of(index), goal, now_ - done.sent,
                                                          now_);
            });
            return true;
        });
        while (each.running.size() < slots && !each.queue.empty()) {
            attempt next = each.queue.front();
            each.queue.erase(each.queue.begin());
            next.ends = now_ + std::chrono::milliseconds{15 + random_() % 31};
            each.running.push_back(next);
        }
    }
};

} // namespace cyclamen::test
