#include "routing/target_load.hpp"

#include <algorithm>
#include <cmath>

namespace cyclamen::routing {

void target_load::on_ended()
{
    if (!opened_.empty()) {
        // The count is the same whichever attempt ended; the oldest is the most likely one.
        opened_.pop_front();
    }
}

void target_load::on_report(const load_report& report, core::instant now)
{
    const core::instant taken_at = now - report.age;
    if (reported_at_.has_value() && taken_at < taken_at_) {
        // The report was overtaken by a newer one.
        return;
    }
    // The report includes the attempts of this instance that were open when it was taken.
    const auto own_then = std::ranges::upper_bound(opened_, taken_at) - opened_.begin();
    const double reported = static_cast<double>(report.running) + report.waiting;
    other_requests_ = std::max(0.0, reported - static_cast<double>(own_then));
    taken_at_ = taken_at;
    reported_at_ = now;
    capacity_ = report.capacity;
}

double target_load::estimate(double average_other_load, core::instant now) const
{
    const double own = static_cast<double>(opened_.size());
    if (!other_requests_.has_value()) {
        return own + average_other_load;
    }
    const double age = core::to_seconds(now - taken_at_) / core::to_seconds(half_life);
    const double trust = std::exp2(-std::max(0.0, age));
    return own + trust * *other_requests_ + (1.0 - trust) * average_other_load;
}

} // namespace cyclamen::routing
