#include "routing/learnt_pace.hpp"

#include <algorithm>
#include <bit>
#include <cmath>

#include "core/log.hpp"

namespace cyclamen::routing {

namespace {

/// Observations of a kind of work before which no target counts as fast or slow.
constexpr std::uint32_t min_observations = 6;
/// Number of observations over which the usual time is averaged.
constexpr std::uint32_t usual_span = 32;
/// Largest difference from the usual time that one observation adds, as a factor: so small that the
/// mean is near the median, and a few slow targets don't make the others look fast.
constexpr double max_step = 1.3;

/// Number of running requests at which the second class begins; the classes double in size. Below
/// it a slow target has more requests because it is slow, rather than the other way round.
constexpr std::uint32_t first_class_end = 8;

/// Weights of observations, by how well they show the speed of the target.
constexpr double reading_weight = 1.0;
constexpr double writing_weight = 1.0;
constexpr double answering_weight = 0.25;

/// Factors from which a target is logged as slow, and below which it no longer is.
constexpr double slow_factor = 2.0;
constexpr double recovered_factor = 1.4;

/// Weight below which nothing is known of a target any more.
constexpr double negligible_weight = 0.02;
constexpr core::duration purge_period = std::chrono::seconds{5};

double weight_of(pace_kind kind)
{
    switch (kind) {
    case pace_kind::reading:
        return reading_weight;
    case pace_kind::writing:
        return writing_weight;
    case pace_kind::answering:
        break;
    }
    return answering_weight;
}

} // namespace

usual_time usual_time::observed(double seconds) const
{
    usual_time next;
    next.observations_ = std::min(observations_ + 1, usual_span);
    const double difference = std::log(seconds) - log_seconds_;
    const double bound = std::log(max_step);
    const double step =
        observations_ < min_observations ? difference : std::clamp(difference, -bound, bound);
    next.log_seconds_ = log_seconds_ + step / static_cast<double>(next.observations_);
    return next;
}

double usual_time::factor_of(double seconds) const
{
    return seconds / std::exp(log_seconds_);
}

bool usual_time::is_known() const
{
    return observations_ >= min_observations;
}

const learnt_pace::known_target* learnt_pace::find(const core::target_name& target,
                                                   core::wall_time started_at) const
{
    const auto found = targets_.find(target);
    return found == targets_.end() || found->second.started_at != started_at ? nullptr
                                                                             : &found->second;
}

learnt_pace::known_target* learnt_pace::current(const core::target_name& target,
                                                core::wall_time started_at)
{
    known_target& known =
        targets_.try_emplace(target, known_target{started_at, {}, {}, {}}).first->second;
    if (known.started_at < started_at) {
        known = known_target{started_at, {}, {}, {}};
    }
    return known.started_at == started_at ? &known : nullptr;
}

double learnt_pace::pace_of(const core::target_name& target, core::wall_time started_at,
                            core::instant now) const
{
    const known_target* known = find(target, started_at);
    return known == nullptr ? 1.0 : known->pace.factor(now, settings_);
}

std::uint32_t learnt_pace::takes_well(const core::target_name& target, core::wall_time started_at,
                                      core::instant now) const
{
    const known_target* known = find(target, started_at);
    return known == nullptr ? 0 : known->limit.value(now, settings_);
}

void learnt_pace::observe(const pace_observation& seen, core::instant now)
{
    if (!(seen.seconds > 0.0)) {
        return;
    }
    purge(now);
    const auto load_class =
        std::min<std::size_t>(std::bit_width(seen.running / first_class_end), load_classes - 1);
    usual_time& usual = usual_[seen.service][seen.kind].at(load_class);
    const bool has_usual = usual.is_known();
    const double factor = usual.factor_of(seen.seconds);
    usual = usual.observed(seen.seconds);
    known_target* known = current(seen.target, seen.started_at);
    if (known == nullptr || !has_usual) {
        return;
    }
    const double weight = weight_of(seen.kind);
    known->pace = known->pace.observed(factor, weight, now, settings_);
    known->unsent = known->unsent.observed(factor, weight, now, settings_);
    if (seen.kind == pace_kind::writing) {
        known->limit = known->limit.observed(seen.running, factor, now, settings_);
    }
    log_change(seen.target, *known, now);
}

std::vector<pace_report> learnt_pace::take_news(std::size_t max, core::instant now)
{
    std::vector<pace_report> news;
    auto next = targets_.lower_bound(next_news_);
    for (std::size_t passed = 0; passed < targets_.size() && news.size() < max; ++passed) {
        if (next == targets_.end()) {
            next = targets_.begin();
        }
        known_target& known = next->second;
        if (known.unsent != target_pace{}) {
            news.push_back(pace_report{next->first, known.started_at, known.unsent.mean_factor(),
                                       known.unsent.weight(now, settings_),
                                       now - known.unsent.at()});
            known.unsent = {};
        }
        ++next;
    }
    next_news_ = next == targets_.end() ? core::target_name{} : next->first;
    return news;
}

void learnt_pace::learn(const std::vector<pace_report>& merged, core::instant now)
{
    purge(now);
    for (const pace_report& each : merged) {
        known_target* known = current(each.target, each.started_at);
        if (known != nullptr) {
            // The weight is that at the arrival, not at the last observation.
            const core::instant at = now - each.age;
            const double aged =
                std::exp2(core::to_seconds(each.age) / core::to_seconds(settings_.half_life));
            known->pace = known->pace.merged(
                target_pace{each.factor, std::min(each.weight * aged, settings_.max_weight), at});
            log_change(each.target, *known, now);
        }
    }
}

std::size_t learnt_pace::known_uneven(core::instant now) const
{
    return static_cast<std::size_t>(
        std::count_if(targets_.begin(), targets_.end(), [&](const auto& each) {
            return each.second.pace.factor(now, settings_) != 1.0;
        }));
}

void learnt_pace::log_change(const core::target_name& target, known_target& known,
                             core::instant now) const
{
    const double factor = known.pace.factor(now, settings_);
    const bool crosses = known.logged_slow ? factor < recovered_factor : factor >= slow_factor;
    if (crosses) {
        known.logged_slow = !known.logged_slow;
        const std::initializer_list<core::log_field> fields{
            {"target", target.str()},
            {"pace", factor},
            {"weight", known.pace.weight(now, settings_)},
            {"takes_well", known.limit.value(now, settings_)}};
        if (known.logged_slow) {
            core::log_event(core::log_level::info, "target_slow", fields);
        }
        else {
            core::log_event(core::log_level::info, "target_pace_recovered", fields);
        }
    }
}

void learnt_pace::purge(core::instant now)
{
    if (now - purged_at_ < purge_period) {
        return;
    }
    purged_at_ = now;
    std::erase_if(targets_, [&](const auto& each) {
        return each.second.pace.weight(now, settings_) < negligible_weight;
    });
}

} // namespace cyclamen::routing
