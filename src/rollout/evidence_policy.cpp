#include "rollout/evidence_policy.hpp"

#include <algorithm>

#include "core/text.hpp"

namespace cyclamen::rollout {

namespace {

/// The share may grow to at most this multiple of the largest share in the last two windows.
constexpr double max_growth_per_window = 4;

/// Fraction of the exposure limit that is used: the number of requests in a burst varies, and the
/// limit must hold nevertheless.
constexpr double exposure_limit_usage = 0.85;

/// @return the fraction of a window's requests that went to the new version, 0 without requests
double observed_share(const rollout_view& view, api::window_number window)
{
    const model::rollout_key key = view.declared.key();
    const api::evidence_cell begin{key, window, {}, api::rollout_arm::from, api::cohort::spread};
    std::uint64_t total = 0;
    std::uint64_t on_new_version = 0;
    const auto& cells = view.observed.cells();
    for (auto cell = cells.lower_bound(begin);
         cell != cells.end() && cell->first.rollout == key && cell->first.window == window;
         ++cell) {
        total += cell->second.attempts;
        if (cell->first.arm == api::rollout_arm::to) {
            on_new_version += cell->second.attempts;
        }
    }
    return total == 0 ? 0 : static_cast<double>(on_new_version) / static_cast<double>(total);
}

} // namespace

assessment evidence_policy::assess(const rollout_view& view) const
{
    judgement verdict = judge(limits_, view.declared.key(), view.observed, view.now);
    std::string reason = core::concat(verdict.requests, " requests, e-value ", verdict.e_value,
                                      verdict.proven ? ", proven" : ", not proven");
    return {exposure_of(view, verdict.proven), std::move(verdict.fault), verdict.proven,
            std::move(reason)};
}

exposure evidence_policy::exposure_of(const rollout_view& view, bool proven) const
{
    const double limit = view.declared.exposure_limit();
    const core::wall_time start = move_start(schedule_, view.declared);
    if (view.ready_share <= 0) {
        return {0, false};
    }
    if (!proven || view.now < start) {
        return {limit * exposure_limit_usage, concentrates_};
    }
    const double scheduled = limit + (1 - limit) * core::to_seconds(view.now - start) /
                                         core::to_seconds(schedule_.move_time);
    // Limits the growth by the observed share: without evidence of the last step the share falls
    // back to the exposure limit.
    const std::uint64_t current = window_at(view.now).value();
    const double observed_before = std::max(observed_share(view, api::window_number{current - 1}),
                                            observed_share(view, api::window_number{current - 2}));
    const double allowed = std::max(limit, observed_before * max_growth_per_window);
    const double share = std::min({scheduled, allowed, view.ready_share, 1.0});
    return {share, concentrates_ && share <= limit};
}

} // namespace cyclamen::rollout
