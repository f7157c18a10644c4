#include "bench/rollout_case.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <queue>
#include <random>

#include "bench/rollout_case_model.hpp"

namespace cyclamen::bench {

namespace {

constexpr seconds gossip_period = 1;
constexpr seconds max_veto_delay = 2;
constexpr seconds mean_generation_time = 10;
constexpr seconds restart_duration = 20;
constexpr seconds share_window = 300;
constexpr double crashes_per_second = 1.0 / (8 * 3600);
constexpr double base_failure_rate = 0.001;

core::wall_time to_wall(seconds time)
{
    constexpr double ms_per_second = 1000;
    return core::wall_time{std::chrono::milliseconds{std::llround(time * ms_per_second)}};
}

/// Discrete-event simulation of one case.
class simulation {
  public:
    simulation(const rollout::share_policy& policy, bool classifies, const deployment& sizes,
               fault_kind kind, std::uint64_t seed)
        : policy_{policy}, classifies_{classifies}, sizes_{sizes}, kind_{kind}, random_{seed}
    {
        deadline_ = uniform(25, 45) * 60;
        end_ = kind == fault_kind::none ? deadline_ : deadline_ + 600;
        draw_fault();
        draw_environment();
        declared_.emplace(model::rollout{core::rollout_name{"r" + std::to_string(seed)},
                                         core::service_name{"notices"},
                                         core::version_name{"v1"},
                                         core::version_name{"v2"},
                                         {},
                                         {},
                                         to_wall(start_ + deadline_),
                                         std::chrono::minutes{10},
                                         50,
                                         1,
                                         0});
        for (int i = 0; i < sizes_.instances; ++i) {
            recorders_.emplace_back(
                api::evidence_origin{core::instance_name{std::to_string(i)}, core::incarnation{1}});
            veto_delays_.push_back(uniform(0, max_veto_delay));
        }
    }

    case_result run()
    {
        for (seconds tick = 0; tick < end_; tick += gossip_period) {
            review(tick);
            add_arrivals(tick);
            while (!events_.empty() && events_.top().time < tick + gossip_period) {
                const event next = events_.top();
                events_.pop();
                handle(next);
            }
            if (vetoed_at_.has_value() && tick > *vetoed_at_ + 3 * max_veto_delay) {
                break;
            }
        }
        if (result_.taken_back) {
            result_.stop_delay =
                std::max(0.0, last_new_at_ - fault_visible_at_.value_or(last_new_at_));
        }
        return result_;
    }

  private:
    const rollout::share_policy& policy_;
    bool classifies_;
    deployment sizes_;
    fault_kind kind_;
    std::mt19937_64 random_;
    // Wall time of the start of the case: the start of a window plus a random part of the window.
    seconds start_ = 6'000'000;
    seconds deadline_ = 0;
    seconds end_ = 0;
    fault_plan fault_;
    std::optional<model::rollout> declared_;
    std::array<std::vector<simulated_target>, 2> targets_;
    std::vector<rollout::outcome_recorder> recorders_;
    std::vector<bool> lost_instances_;
    std::vector<seconds> instance_loss_times_;
    std::vector<seconds> veto_delays_;
    std::vector<std::pair<seconds, seconds>> outages_;
    rollout::evidence evidence_;
    std::vector<api::rollout_gossip> gossip_in_flight_;
    double share_ = 0;
    bool concentrated_ = false;
    std::priority_queue<event> events_;
    std::vector<simulated_request> requests_;
    std::deque<std::pair<seconds, bool>> recent_;
    double recent_new_ = 0;
    std::optional<seconds> vetoed_at_;
    std::optional<seconds> fault_visible_at_;
    int faulty_outcomes_ = 0;
    seconds last_new_at_ = 0;
    case_result result_;

    double uniform(double low, double high)
    {
        return std::uniform_real_distribution<double>{low, high}(random_);
    }
    bool chance(double probability) { return uniform(0, 1) < probability; }
    seconds exponential(double rate)
    {
        return std::exponential_distribution<double>{rate}(random_);
    }

    void draw_fault()
    {
        switch (kind_) {
        case fault_kind::none:
            break;
        case fault_kind::fails_later:
            fault_.onset_at = uniform(60, 12 * 60);
            [[fallthrough]];
        case fault_kind::fails_at_once:
            fault_.failure_rate = uniform(0.1, 1);
            break;
        case fault_kind::slow:
            fault_.slowdown = uniform(2, 5);
            break;
        case fault_kind::under_load_only:
            fault_.min_load = 0.8;
            if (chance(0.5)) {
                fault_.failure_rate = uniform(0.3, 1);
            }
            else {
                fault_.slowdown = uniform(3, 6);
            }
            break;
        case fault_kind::one_route_only:
            fault_.one_route = true;
            fault_.failure_rate = uniform(0.2, 1);
            break;
        case fault_kind::crashes_after_minutes:
            fault_.lifetime = uniform(60, 5 * 60);
            break;
        }
    }

    void draw_environment()
    {
        start_ += uniform(0, 60);
        for (auto& version : targets_) {
            for (int i = 0; i < sizes_.targets; ++i) {
                simulated_target target;
                target.speed = std::exp(std::normal_distribution<double>{0, 0.1}(random_));
                target.crash_at = exponential(crashes_per_second);
                version.push_back(target);
            }
        }
        // One case in three has a store outage; one in three loses three instances.
        if (chance(1.0 / 3)) {
            const seconds from = uniform(0, deadline_);
            outages_.emplace_back(from, from + uniform(30, 600));
        }
        lost_instances_.assign(static_cast<std::size_t>(sizes_.instances), false);
        instance_loss_times_.assign(static_cast<std::size_t>(sizes_.instances), end_ + 1);
        if (chance(1.0 / 3)) {
            for (int i = 0; i < 3; ++i) {
                instance_loss_times_.at(static_cast<std::size_t>(i)) = uniform(0, deadline_);
            }
        }
    }

    /// Delivers the gossip of the previous tick, collects that of this tick, and applies the
    /// policy.
    void review(seconds now)
    {
        lose_instances(now);
        for (const api::rollout_gossip& update : gossip_in_flight_) {
            for (const auto& count : update.cells) {
                evidence_.merge(count);
            }
            for (const auto& count : update.targets) {
                evidence_.merge(count);
            }
        }
        gossip_in_flight_.clear();
        for (std::size_t i = 0; i < recorders_.size(); ++i) {
            if (!lost_instances_.at(i)) {
                gossip_in_flight_.push_back(recorders_.at(i).take_changes());
            }
        }
        if (vetoed_at_.has_value()) {
            return;
        }
        const rollout::assessment current =
            policy_.assess({*declared_, evidence_, 1, to_wall(start_ + now)});
        if (current.fault.has_value()) {
            vetoed_at_ = now;
            result_.taken_back = true;
            result_.reason = current.fault->evidence;
            return;
        }
        share_ = current.exposure.share;
        concentrated_ = current.exposure.concentrated;
        if (now <= deadline_ && share_ >= 1) {
            result_.moved_in_time = true;
        }
    }

    void lose_instances(seconds now)
    {
        for (std::size_t i = 0; i < lost_instances_.size(); ++i) {
            if (instance_loss_times_.at(i) <= now) {
                lost_instances_.at(i) = true;
            }
        }
    }

    void add_arrivals(seconds tick)
    {
        const int count = std::poisson_distribution<int>{sizes_.request_rate}(random_);
        for (int i = 0; i < count; ++i) {
            simulated_request request;
            request.id = random_();
            do {
                request.instance = static_cast<int>(uniform(0, sizes_.instances));
            } while (lost_instances_.at(static_cast<std::size_t>(request.instance)));
            // A few large accounts send most of the requests. Both routes are used.
            request.stratum = (chance(0.7) ? 0 : 1) + (chance(0.6) ? 0 : 2);
            request.is_poison = chance(1.0 / (600 * sizes_.request_rate));
            requests_.push_back(request);
            events_.push(
                {tick + uniform(0, gossip_period), event_kind::arrive, requests_.size() - 1, 0});
        }
    }

    void handle(const event& next)
    {
        simulated_request& request = requests_.at(next.request);
        if (next.kind == event_kind::arrive) {
            place(next.request, next.time, std::nullopt);
            return;
        }
        if (next.attempt != request.attempt) {
            return;
        }
        const std::size_t arm = static_cast<std::size_t>(request.placed->choice.arm);
        if (next.kind == event_kind::first_token) {
            recorder(request).on_first_token(*request.placed,
                                             core::from_seconds(request.first_token));
            record_outcome(request.is_faulty && request.end == rollout::attempt_end::finished,
                           next.time);
            return;
        }
        simulated_target& target = targets_.at(arm).at(request.target);
        target.open -= 1;
        const bool crashes = request.end == rollout::attempt_end::lost;
        if (crashes && target.up_from <= next.time) {
            target.up_from = next.time + restart_duration;
            record_outcome(target.crash_is_version_fault, next.time);
        }
        record_outcome(request.is_faulty && request.end == rollout::attempt_end::failed, next.time);
        rollout::attempt_end end = request.end;
        if (!classifies_ && end == rollout::attempt_end::unrelated) {
            end = rollout::attempt_end::failed;
        }
        recorder(request).on_end(*request.placed, end, to_wall(start_ + next.time));
        excuse_if_poison(request, next.time);
        if (crashes && request.attempt < 2) {
            place(next.request, next.time, arm);
        }
    }

    /// Excuses the losses of a request that has crashed two targets: the request is at fault, not
    /// the version.
    void excuse_if_poison(simulated_request& request, seconds now)
    {
        if (request.end != rollout::attempt_end::lost) {
            return;
        }
        if (request.first_loss.has_value()) {
            recorder(request).excuse(*request.first_loss, to_wall(start_ + request.first_loss_at));
            recorder(request).excuse(*request.placed, to_wall(start_ + now));
            return;
        }
        request.first_loss.emplace(*request.placed);
        request.first_loss_at = now;
    }

    /// The fault counts as visible from the third faulty outcome on.
    void record_outcome(bool is_faulty, seconds now)
    {
        constexpr int faulty_until_visible = 3;
        if (is_faulty && ++faulty_outcomes_ == faulty_until_visible) {
            fault_visible_at_ = now;
        }
    }

    rollout::outcome_recorder& recorder(const simulated_request& request)
    {
        return recorders_.at(static_cast<std::size_t>(request.instance));
    }

    rollout::arm_choice choose(const simulated_request& request, seconds now)
    {
        const seconds veto_delay = veto_delays_.at(static_cast<std::size_t>(request.instance));
        if (vetoed_at_.has_value() && now >= *vetoed_at_ + veto_delay) {
            return {api::rollout_arm::from, api::cohort::spread};
        }
        return rollout::choose_arm({share_, concentrated_}, declared_->key(), request.id,
                                   to_wall(start_ + now));
    }

    /// @return an available target: the first with a free slot for the concentrated cohort,
    /// otherwise the less loaded of two random ones; empty if none is available
    std::optional<std::size_t> find_target(std::size_t arm, api::cohort cohort, seconds now)
    {
        std::vector<std::size_t> available;
        for (std::size_t i = 0; i < targets_.at(arm).size(); ++i) {
            const simulated_target& target = targets_.at(arm).at(i);
            if (target.up_from > now) {
                continue;
            }
            if (cohort == api::cohort::concentrated && target.open < sizes_.slots) {
                return i;
            }
            available.push_back(i);
        }
        if (available.empty()) {
            return std::nullopt;
        }
        const auto pick = [&] { return available.at(random_() % available.size()); };
        const std::size_t left = pick();
        const std::size_t right = pick();
        return targets_.at(arm).at(left).open <= targets_.at(arm).at(right).open ? left : right;
    }

    /// Opens an attempt for a request.
    /// @param lost_arm arm of the lost attempt that is retried, empty for a new request
    void place(std::size_t index, seconds now, std::optional<std::size_t> lost_arm)
    {
        simulated_request& request = requests_.at(index);
        const rollout::arm_choice choice =
            lost_arm.has_value() ? request.placed->choice : choose(request, now);
        if (!lost_arm.has_value()) {
            record_share(choice.arm == api::rollout_arm::to, now);
        }
        const auto target = find_target(static_cast<std::size_t>(choice.arm), choice.cohort, now);
        if (target.has_value()) {
            start(index, choice, *target, now);
            return;
        }
        const auto fallback = find_target(0, api::cohort::spread, now);
        if (fallback.has_value()) {
            start(index, {api::rollout_arm::from, api::cohort::spread}, *fallback, now);
        }
    }

    void start(std::size_t index, rollout::arm_choice choice, std::size_t target_index, seconds now)
    {
        simulated_request& request = requests_.at(index);
        simulated_target& target =
            targets_.at(static_cast<std::size_t>(choice.arm)).at(target_index);
        const bool is_new = choice.arm == api::rollout_arm::to;
        request.target = target_index;
        request.attempt += 1;
        const double load = static_cast<double>(target.open) / sizes_.slots;
        target.open += 1;
        request.placed.emplace(rollout::placed_attempt{
            declared_->key(),
            choice,
            {api::route_name{request.stratum % 2 == 0 ? "stream" : "whole"},
             model::label_set{{{"size", request.stratum < 2 ? "large" : "small"}}}},
            core::target_name{(is_new ? "n" : "o") + std::to_string(target_index)},
            to_wall(start_ + now)});
        const double noise = std::exp(std::normal_distribution<double>{0, 0.4}(random_));
        request.first_token = 0.25 * target.speed * noise * (1 + load * load);
        seconds length = request.first_token + exponential(1 / mean_generation_time);
        request.end = chance(base_failure_rate) ? rollout::attempt_end::failed
                                                : rollout::attempt_end::finished;
        request.is_faulty = false;
        apply_outage(request, length, now);
        if (is_new) {
            apply_fault(request, target, load, length, now);
        }
        apply_crash(request, target, length, now);
        if (request.end == rollout::attempt_end::finished || length > request.first_token) {
            events_.push(
                {now + request.first_token, event_kind::first_token, index, request.attempt});
        }
        events_.push({now + length, event_kind::end, index, request.attempt});
    }

    void apply_outage(simulated_request& request, seconds& length, seconds now)
    {
        for (const auto& [from, until] : outages_) {
            if (now >= from && now < until && chance(0.3)) {
                request.end = rollout::attempt_end::unrelated;
                length = uniform(0, 2);
            }
        }
    }

    void apply_fault(simulated_request& request, simulated_target& target, double load,
                     seconds& length, seconds now)
    {
        if (fault_.lifetime > 0 && target.crash_is_version_fault == false) {
            target.crash_at = now + fault_.lifetime * uniform(0.7, 1.3);
            target.crash_is_version_fault = true;
        }
        const bool applies = now >= fault_.onset_at && load >= fault_.min_load &&
                             (!fault_.one_route || request.stratum % 2 == 1);
        if (!applies) {
            return;
        }
        if (fault_.slowdown > 1) {
            length += request.first_token * (fault_.slowdown - 1);
            request.first_token *= fault_.slowdown;
            request.is_faulty = true;
        }
        if (chance(fault_.failure_rate)) {
            request.end = rollout::attempt_end::failed;
            request.is_faulty = true;
            length = uniform(0, 2);
        }
    }

    void apply_crash(simulated_request& request, simulated_target& target, seconds& length,
                     seconds now)
    {
        if (target.crash_at < now) {
            // The target crashed while idle, or has restarted since: draw its next crash.
            target.crash_is_version_fault = target.crash_is_version_fault && fault_.lifetime > 0;
            target.crash_at =
                now + (target.crash_is_version_fault ? fault_.lifetime * uniform(0.7, 1.3)
                                                     : exponential(crashes_per_second));
        }
        if (request.is_poison) {
            request.end = rollout::attempt_end::lost;
            length = uniform(0.1, 2);
            target.crash_at = std::min(target.crash_at, now + length);
        }
        if (target.crash_at < now + length) {
            request.end = rollout::attempt_end::lost;
            length = target.crash_at - now;
        }
    }

    /// Updates the largest share of the new version within the share window.
    void record_share(bool is_new, seconds now)
    {
        if (is_new) {
            last_new_at_ = now;
        }
        recent_.emplace_back(now, is_new);
        recent_new_ += is_new ? 1 : 0;
        while (recent_.front().first < now - share_window) {
            recent_new_ -= recent_.front().second ? 1 : 0;
            recent_.pop_front();
        }
        const double expected = sizes_.request_rate * share_window;
        const double share = recent_new_ / std::max(expected, static_cast<double>(recent_.size()));
        result_.largest_share = std::max(result_.largest_share, share);
    }
};

} // namespace

std::string_view to_string(fault_kind kind)
{
    constexpr std::array<std::string_view, all_faults.size()> names{
        "good",           "fails_at_once",        "fails_later", "slow", "under_load_only",
        "one_route_only", "crashes_after_minutes"};
    return names.at(static_cast<std::size_t>(kind));
}

case_result run_case(const rollout::share_policy& policy, bool classifies, const deployment& sizes,
                     fault_kind kind, std::uint64_t seed)
{
    return simulation{policy, classifies, sizes, kind, seed}.run();
}

} // namespace cyclamen::bench
