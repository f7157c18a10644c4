#pragma once

#include <compare>
#include <cstdint>

#include "core/time.hpp"

namespace cyclamen::routing {

/// How the paces of targets are learnt.
struct pace_settings {
    /// Age at which an observation counts half.
    const core::duration half_life = std::chrono::seconds{12};
    /// Weight of the assumption that a target is as fast as usual; a complete observation weighs 1.
    const double prior_weight = 0.5;
    /// Largest weight of past observations, so that new ones still count.
    const double max_weight = 6.0;
    /// Ratio between an observation and what is known from which the target may have changed.
    const double change_ratio = 1.7;
    /// Weight that earlier observations keep at the second such observation in a row.
    const double changed_weight = 0.3;
    /// Targets whose factor differs less from 1 count as equally fast.
    const double dead_band = 1.25;
    /// Bound of observed factors and their inverse.
    const double max_factor = 8.0;
    /// Ratio to a target's best pace from which it counts as slowed down by its requests.
    const double overload_ratio = 2.0;
    /// Fraction of the number of requests at which a target slowed down that it still takes well.
    const double overload_backoff = 0.75;
    /// Time without observations near the limit after which it is dropped.
    const core::duration limit_age = std::chrono::seconds{20};

    auto operator<=>(const pace_settings&) const = default;
};

/// What is known of the time that a target takes, relative to what is usual for its service. The
/// logarithms of the observed factors are averaged, with weights that fall with age.
class target_pace {
  public:
    /// A target that was not observed yet.
    target_pace() = default;

    /// @param factor time factor, 1 = usual
    /// @param weight weight of the observations behind it, at the instant of the last one
    /// @param at instant of the last observation
    target_pace(double factor, double weight, core::instant at);

    /// @param factor observed time factor
    /// @param weight weight of the observation, 1 if it is as good as any
    /// @param at instant of the observation
    /// @return the pace with the observation added
    [[nodiscard]] target_pace observed(double factor, double weight, core::instant at,
                                       const pace_settings& settings) const;

    /// Chooses between two accounts of the same target; the order of any number of merges doesn't
    /// change the result.
    /// @return the one with the later observation
    [[nodiscard]] target_pace merged(const target_pace& other) const;

    /// @return the mean observed factor, 1 before the first observation
    [[nodiscard]] double mean_factor() const;

    /// @return weight of the observations at an instant
    [[nodiscard]] double weight(core::instant now, const pace_settings& settings) const;

    /// @return the expected time factor; exactly 1 unless the target is known to differ
    [[nodiscard]] double factor(core::instant now, const pace_settings& settings) const;

    /// @return instant of the last observation
    [[nodiscard]] core::instant at() const { return at_; }

    auto operator<=>(const target_pace&) const = default;

  private:
    core::instant at_{};
    double weight_ = 0.0;
    double log_factor_ = 0.0;
    /// Direction in which the last observation differed so much that the target may have changed;
    /// 0 if it didn't.
    int surprise_ = 0;
};

/// The number of running requests that a target takes without slowing down. It falls by a fraction
/// when the target is slow at more requests, and grows by one while it is not.
class request_limit {
  public:
    /// @param running requests that run on the target
    /// @param factor the target's time factor, relative to what is usual at that number
    /// @return the limit with the observation added
    [[nodiscard]] request_limit observed(std::uint32_t running, double factor, core::instant at,
                                         const pace_settings& settings) const;

    /// @return the number of requests, 0 if no limit is known
    [[nodiscard]] std::uint32_t value(core::instant now, const pace_settings& settings) const;

    auto operator<=>(const request_limit&) const = default;

  private:
    std::uint32_t limit_ = 0;
    /// Lowest factor observed, rising slowly.
    double best_ = 0.0;
    core::instant at_{};
};

} // namespace cyclamen::routing
