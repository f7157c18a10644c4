#include "limits/shared_send.hpp"

#include <algorithm>
#include <numeric>

namespace cyclamen::limits {

namespace {

/// Shortest pause before a waiting call asks again.
constexpr core::duration min_pause = std::chrono::milliseconds{1};

} // namespace

bool shared_send::applies() const
{
    const std::size_t slots =
        std::accumulate(shares_.begin(), shares_.end(), std::size_t{0},
                        [](std::size_t sum, const auto& each) { return sum + each.second.slots; });
    return slots > 0 && instances_ > slots;
}

bool shared_send::limits_at(core::instant now) const
{
    const bool pressed = pressed_at_.has_value() && now - *pressed_at_ < settings_.quiet_time;
    return applies() && (full_at_.has_value() ? pressed : pressed && is_new(now));
}

double shared_send::rate_of(const core::target_name& target) const
{
    const auto found = shares_.find(target);
    return found == shares_.end() ? 0.0 : found->second.rate * even_share(found->second);
}

double shared_send::min_rate_of(const core::target_name& target) const
{
    const auto found = shares_.find(target);
    return found == shares_.end() ? 0.0 : settings_.min_rate * even_share(found->second);
}

double shared_send::even_share(const share& of) const
{
    // A target whose slots are unknown runs one call at a time.
    return std::max(1U, of.slots) / core::to_seconds(usual_time()) /
           static_cast<double>(std::max<std::size_t>(1, instances_));
}

core::duration shared_send::usual_time() const
{
    constexpr core::duration shortest = std::chrono::milliseconds{1};
    return std::max(shortest, usual_seconds_ > 0.0
                                  ? core::from_seconds(usual_seconds_)
                                  : core::fraction_of(goal_, settings_.assumed_goal_fraction));
}

void shared_send::set_instances(std::size_t count, core::instant now)
{
    instances_ = count;
    started_at_ = started_at_.value_or(now);
}

bool shared_send::is_new(core::instant now) const
{
    return started_at_.has_value() && now - *started_at_ < settings_.quiet_time;
}

void shared_send::begin_limit(double tokens, core::instant now)
{
    for (auto& [name, each] : shares_) {
        each.rate = settings_.first_rate;
        each.tokens = tokens;
        each.refilled_at = now;
        each.decreased_at = now;
    }
    pressed_at_ = now;
}

void shared_send::refill(core::instant now)
{
    const bool rises = waited_at_.has_value() && now - *waited_at_ < settings_.quiet_time;
    const double increase = full_at_.has_value() ? settings_.increase : settings_.first_increase;
    for (auto& [name, each] : shares_) {
        const double seconds = std::max(0.0, core::to_seconds(now - each.refilled_at));
        each.refilled_at = std::max(each.refilled_at, now);
        if (rises) {
            each.rate = std::min(settings_.max_rate, each.rate + increase * seconds);
        }
        each.tokens =
            std::min(settings_.burst, each.tokens + each.rate * even_share(each) * seconds);
    }
}

void shared_send::press(const core::target_name& target, core::instant now)
{
    const bool is_first_sign = !full_at_.has_value();
    full_at_ = now;
    if (is_first_sign || !limits_at(now)) {
        begin_limit(0.0, now);
        return;
    }
    pressed_at_ = now;
    const auto found = shares_.find(target);
    const core::duration pause = std::min(core::fraction_of(goal_, settings_.decrease_pause_goals),
                                          settings_.max_decrease_pause);
    if (found != shares_.end() && now - found->second.decreased_at >= pause) {
        share& full = found->second;
        full.rate = std::max(settings_.min_rate, full.rate * settings_.decrease);
        full.decreased_at = now;
    }
}

std::optional<core::target_name> shared_send::free_target(const send_request& request,
                                                          std::size_t ahead) const
{
    std::optional<core::target_name> first;
    std::size_t free = 0;
    for (const core::target_name& name : request.targets) {
        const auto found = shares_.find(name);
        const double tokens = found == shares_.end() ? 1.0 : found->second.tokens;
        if (tokens >= 1.0) {
            free += static_cast<std::size_t>(tokens);
            first = first.has_value() ? first : std::optional{name};
        }
    }
    return free > ahead ? first : std::nullopt;
}

double shared_send::total_rate(const send_request& request) const
{
    double total = 0.0;
    for (const core::target_name& name : request.targets) {
        total += rate_of(name);
    }
    return total;
}

core::instant shared_send::next_place(const send_request& request, std::size_t ahead,
                                      core::instant now) const
{
    double seconds = core::to_seconds(settings_.max_retry_after);
    for (const core::target_name& name : request.targets) {
        const auto found = shares_.find(name);
        if (found != shares_.end()) {
            seconds = std::min(seconds, std::max(0.0, 1.0 - found->second.tokens) / rate_of(name));
        }
    }
    const double rate = total_rate(request);
    const double behind = rate > 0.0 ? static_cast<double>(ahead) / rate : 0.0;
    return now + core::from_seconds(seconds + behind);
}

std::size_t shared_send::calls_before(const place& own) const
{
    return static_cast<std::size_t>(std::distance(line_.begin(), line_.lower_bound(own)));
}

std::size_t shared_send::late_calls() const
{
    const place first_late{true, 0, core::instant::min(), 0};
    return static_cast<std::size_t>(std::distance(line_.lower_bound(first_late), line_.end()));
}

send_decision shared_send::decide(const send_request& request, core::instant now)
{
    goal_ = request.goal_at - request.accepted;
    on_ended(request.number);
    if (!pressed_at_.has_value() && applies() && is_new(now)) {
        // This process may have been started together with all others, in the middle of a burst.
        begin_limit(settings_.burst, now);
    }
    if (!limits_at(now)) {
        return send_decision{send_verdict::send, request.targets.front(), now,
                             core::duration::zero()};
    }
    refill(now);
    for (const bool late : {false, true}) {
        const place own{late, request.urgency, request.accepted, request.number};
        const std::size_t ahead = calls_before(own);
        const core::instant turn = next_place(request, ahead, now);
        const bool in_goal = turn + usual_time() <= request.goal_at;
        if (!late && !in_goal) {
            continue;
        }
        // A call that is late anyway leaves a place to those that aren't.
        const std::size_t kept = late ? settings_.kept_places : 0;
        if (const auto target = free_target(request, ahead + kept); target.has_value()) {
            return send_decision{send_verdict::send, *target, now, core::duration::zero()};
        }
        const core::instant late_limit =
            request.accepted +
            core::fraction_of(request.deadline - request.accepted, settings_.late_wait_fraction);
        const bool may_wait = !late || (late_calls() < settings_.max_late && turn <= late_limit);
        return may_wait && line_.size() < settings_.max_waiting ? wait(own, turn, now)
                                                                : refuse(request, turn, now);
    }
    return refuse(request, now, now);
}

send_decision shared_send::wait(const place& own, core::instant turn, core::instant now)
{
    pressed_at_ = now;
    waited_at_ = now;
    line_.insert(own);
    places_.emplace(std::get<std::uint64_t>(own), own);
    return send_decision{send_verdict::wait,
                         {},
                         std::clamp(turn, now + min_pause, now + settings_.ask_pause),
                         core::duration::zero()};
}

send_decision shared_send::refuse(const send_request& request, core::instant turn,
                                  core::instant now)
{
    pressed_at_ = now;
    waited_at_ = now;
    const double rate = total_rate(request);
    const core::duration step =
        rate > 0.0 ? core::from_seconds(1.0 / rate) : settings_.max_retry_after;
    // The callers that are refused return one after the other.
    const core::instant latest = now + settings_.max_retry_after;
    returns_until_ = std::min(latest, std::max(returns_until_ + step, turn));
    return send_decision{send_verdict::refuse, {}, now, std::max(min_pause, returns_until_ - now)};
}

void shared_send::on_sent(const core::target_name& target, core::instant now)
{
    const auto found = shares_.find(target);
    if (found != shares_.end() && limits_at(now)) {
        found->second.tokens = std::max(0.0, found->second.tokens - 1.0);
    }
}

void shared_send::on_answered(const core::target_name& target, core::duration goal,
                              core::duration took, core::instant now)
{
    const core::duration limit = std::max(core::fraction_of(goal, settings_.slow_goal_fraction),
                                          core::fraction_of(usual_time(), settings_.slow_factor));
    if (took > limit) {
        press(target, now);
        return;
    }
    const double seconds = core::to_seconds(took);
    usual_seconds_ = usual_seconds_ > 0.0
                         ? usual_seconds_ + settings_.smoothing * (seconds - usual_seconds_)
                         : seconds;
}

void shared_send::on_rejected(const core::target_name& target, core::instant now)
{
    press(target, now);
}

void shared_send::on_lost(const core::target_name& target, core::instant /*now*/)
{
    // It tells nothing of the others, and this one is avoided by its health.
    const auto found = shares_.find(target);
    if (found != shares_.end()) {
        found->second.tokens = 0.0;
    }
}

void shared_send::on_ended(std::uint64_t number)
{
    const auto found = places_.find(number);
    if (found != places_.end()) {
        line_.erase(found->second);
        places_.erase(found);
    }
}

void shared_send::on_listed(const core::target_name& target, std::uint32_t slots)
{
    const auto [found, added] = shares_.try_emplace(target);
    found->second.slots = slots;
    if (added) {
        found->second.rate = settings_.first_rate;
    }
}

void shared_send::on_forgotten(const core::target_name& target)
{
    shares_.erase(target);
}

} // namespace cyclamen::limits
