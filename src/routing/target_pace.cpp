#include "routing/target_pace.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace cyclamen::routing {

namespace {

/// Rise of the best factor with each observation, so that it follows a target that became slower.
constexpr double best_rise = 1.02;

double bounded_log(double factor, const pace_settings& settings)
{
    const double bound = std::log(settings.max_factor);
    return std::clamp(std::log(factor), -bound, bound);
}

} // namespace

target_pace::target_pace(double factor, double weight, core::instant at)
    : at_{at}, weight_{weight}, log_factor_{std::log(factor)}
{
}

target_pace target_pace::observed(double factor, double weight, core::instant at,
                                  const pace_settings& settings) const
{
    if (!(factor > 0.0) || !(weight > 0.0)) {
        return *this;
    }
    const double seen = bounded_log(factor, settings);
    const double difference = seen - log_factor_;
    double former = std::min(this->weight(at, settings), settings.max_weight);
    int surprise = 0;
    if (former > 0.0 && std::abs(difference) >= std::log(settings.change_ratio)) {
        surprise = difference > 0.0 ? 1 : -1;
        if (surprise == surprise_) {
            former = std::min(former, settings.changed_weight);
        }
    }
    target_pace next;
    next.at_ = std::max(at, at_);
    next.weight_ = std::min(former + weight, settings.max_weight);
    next.log_factor_ = (former * log_factor_ + weight * seen) / (former + weight);
    next.surprise_ = surprise;
    return next;
}

target_pace target_pace::merged(const target_pace& other) const
{
    return std::max(*this, other, [](const target_pace& left, const target_pace& right) {
        return std::tie(left.at_, left.weight_, left.log_factor_, left.surprise_) <
               std::tie(right.at_, right.weight_, right.log_factor_, right.surprise_);
    });
}

double target_pace::mean_factor() const
{
    return std::exp(log_factor_);
}

double target_pace::weight(core::instant now, const pace_settings& settings) const
{
    const double age = std::max(0.0, core::to_seconds(now - at_));
    return weight_ == 0.0 ? 0.0 : weight_ * std::exp2(-age / core::to_seconds(settings.half_life));
}

double target_pace::factor(core::instant now, const pace_settings& settings) const
{
    const double known = weight(now, settings);
    const double expected = known * log_factor_ / (known + settings.prior_weight);
    return std::abs(expected) < std::log(settings.dead_band) ? 1.0 : std::exp(expected);
}

request_limit request_limit::observed(std::uint32_t running, double factor, core::instant at,
                                      const pace_settings& settings) const
{
    const std::uint32_t known = value(at, settings);
    request_limit next = *this;
    next.limit_ = known;
    next.best_ = best_ > 0.0 ? std::min(factor, best_ * best_rise) : factor;
    const bool is_slow = factor >= settings.overload_ratio * next.best_;
    if (is_slow && known != 0 && running <= known) {
        // It is slow at fewer requests as well, so their number is not the cause.
        next.limit_ = 0;
        next.best_ = factor;
    }
    else if (is_slow && running > 1) {
        next.limit_ = std::max(1U, static_cast<std::uint32_t>(settings.overload_backoff *
                                                              static_cast<double>(running)));
        next.at_ = at;
    }
    else if (!is_slow && known != 0 && running >= known) {
        next.limit_ = running + 1;
        next.at_ = at;
    }
    return next;
}

std::uint32_t request_limit::value(core::instant now, const pace_settings& settings) const
{
    return now - at_ < settings.limit_age ? limit_ : 0;
}

} // namespace cyclamen::routing
