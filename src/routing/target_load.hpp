#pragma once

#include <deque>
#include <optional>

#include "routing/load_report.hpp"

namespace cyclamen::routing {

/// The load of one target as this instance estimates it: its own attempts, which it counts, and
/// those of others, which it knows from late reports. What was reported of others decays to what
/// is usual among the targets. Used by a target chooser on the decision task.
class target_load {
  public:
    void on_opened(core::instant now) { opened_.push_back(now); }
    void on_ended();
    void on_report(const load_report& report, core::instant now);

    /// @param usual_others what other instances have open at a target on average
    /// @param now current instant
    /// @return estimated number of requests at the target
    [[nodiscard]] double estimate(double average_other_load, core::instant now) const;

    /// @return requests of other instances at the last report, empty without one
    [[nodiscard]] std::optional<double> reported_other_load() const { return other_requests_; }

    /// @return requests that the batch holds, 0 where the target did not say
    [[nodiscard]] std::uint32_t capacity() const { return capacity_; }

    /// @return when the last report came
    [[nodiscard]] std::optional<core::instant> reported_at() const { return reported_at_; }

    [[nodiscard]] std::size_t own_requests() const { return opened_.size(); }

    /// After this time half of what a report said has given way to the average.
    static constexpr core::duration half_life = std::chrono::seconds{3};

  private:
    std::deque<core::instant> opened_;
    std::optional<double> other_requests_;
    std::optional<core::instant> reported_at_;
    core::instant taken_at_{};
    std::uint32_t capacity_ = 0;
};

} // namespace cyclamen::routing
