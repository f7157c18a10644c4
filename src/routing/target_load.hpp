#pragma once

#include <deque>
#include <optional>

#include "routing/load_report.hpp"

namespace cyclamen::routing {

/// Estimated load of one target: the open attempts of this instance, which are known exactly, plus
/// the requests of other instances, known from delayed reports. The reported part decays towards
/// the average over all targets as the report ages. Used by a target chooser on the decision task.
class target_load {
  public:
    void on_opened(core::instant now) { opened_.push_back(now); }
    void on_ended();
    void on_report(const load_report& report, core::instant now);

    /// @param average_other_load requests of other instances at a target, averaged over targets
    /// @param now current instant
    /// @return estimated number of requests at the target
    [[nodiscard]] double estimate(double average_other_load, core::instant now) const;

    /// @return requests of other instances in the last report, empty before the first report
    [[nodiscard]] std::optional<double> reported_other_load() const { return other_requests_; }

    /// @return maximum number of requests in the batch, 0 if the target does not report it
    [[nodiscard]] std::uint32_t capacity() const { return capacity_; }

    /// @return time at which the last report arrived
    [[nodiscard]] std::optional<core::instant> reported_at() const { return reported_at_; }

    /// @return open attempts of this instance
    [[nodiscard]] std::size_t own_requests() const { return opened_.size(); }

    /// Age at which a report and the average have equal weight.
    static constexpr core::duration half_life = std::chrono::seconds{3};

  private:
    std::deque<core::instant> opened_;
    std::optional<double> other_requests_;
    std::optional<core::instant> reported_at_;
    core::instant taken_at_{};
    std::uint32_t capacity_ = 0;
};

} // namespace cyclamen::routing
