#include "rollout/share_policy.hpp"

#include <cmath>

#include "core/hash.hpp"

namespace cyclamen::rollout {

namespace {

/// Time from the start of one burst to the next.
constexpr core::duration burst_period = std::chrono::seconds{14};

/// Largest random delay of the start of a burst, as a fraction of the period.
constexpr double max_start_jitter = 0.1;

/// @return a hash as a number in [0, 1)
double to_unit(std::uint64_t hash)
{
    constexpr int kept_bits = 53;
    constexpr int dropped_bits = 64 - kept_bits;
    return std::ldexp(static_cast<double>(hash >> dropped_bits), -kept_bits);
}

/// @return the phase in the burst period, from 0 to 1. The start is shifted by a different amount
/// in each period, so that a caller with the same period isn't always or never chosen.
double phase_at(const model::rollout_key& rollout, core::wall_time now)
{
    const auto since_epoch = now.time_since_epoch();
    const auto period = static_cast<std::uint64_t>(since_epoch / burst_period);
    const double position =
        core::to_seconds(since_epoch % burst_period) / core::to_seconds(burst_period);
    const double start = to_unit(core::hash_of(rollout.name.str(), period)) * max_start_jitter;
    const double phase = position - start;
    return phase < 0 ? phase + 1 : phase;
}

} // namespace

arm_choice choose_arm(const exposure& current, const model::rollout_key& rollout,
                      std::uint64_t request, core::wall_time now)
{
    if (!current.concentrated) {
        const bool takes_new = to_unit(request) < current.share;
        return {takes_new ? api::rollout_arm::to : api::rollout_arm::from, api::cohort::spread};
    }
    // In each period, a burst to few targets of the old version precedes the burst to few targets
    // of the new one. Comparing the two shows slow answers of the new version at once.
    const double phase = phase_at(rollout, now);
    if (phase < current.share) {
        return {api::rollout_arm::from, api::cohort::concentrated};
    }
    if (phase < 2 * current.share) {
        return {api::rollout_arm::to, api::cohort::concentrated};
    }
    return {api::rollout_arm::from, api::cohort::spread};
}

} // namespace cyclamen::rollout
