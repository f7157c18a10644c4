#include "generation/poison_detector.hpp"

#include <algorithm>

#include "core/hash.hpp"

namespace cyclamen::generation {

fingerprint fingerprint_of(const core::account_name& account, std::string_view prompt)
{
    return fingerprint{core::hash_of(prompt, core::hash_of(account.str()))};
}

void poison_detector::on_crash(fingerprint request, const core::account_name& account,
                               const core::target_name& target, bool had_no_token,
                               core::instant now)
{
    forget_expired(now);
    lost_targets_.insert_or_assign(target, now);
    crash_record& crashes = suspects_[request];
    crashes.account = account;
    crashes.targets.insert(target);
    if (had_no_token) {
        crashes.no_token_targets.insert(target);
    }
    crashes.last_crash = now;
    if (is_mass_loss()) {
        excuse_recent_crashes();
    }
    else if (exceeds_threshold(crashes)) {
        pending_.emplace(request, now + settings_.mass_loss_window);
    }
}

void poison_detector::on_finished(fingerprint request)
{
    suspects_.erase(request);
    pending_.erase(request);
}

std::vector<fingerprint> poison_detector::confirm_quarantines(core::instant now)
{
    std::vector<fingerprint> found;
    for (const auto& [request, deadline] : pending_) {
        if (deadline <= now) {
            found.push_back(request);
        }
    }
    for (const fingerprint request : found) {
        const auto crashes = suspects_.extract(request);
        std::deque<core::instant>& crash_times = account_crashes_[crashes.mapped().account];
        crash_times.insert(crash_times.end(), crashes.mapped().targets.size(), now);
        pending_.erase(request);
        quarantine(request, now + settings_.window);
    }
    return found;
}

std::optional<core::instant> poison_detector::next_deadline() const
{
    std::optional<core::instant> next;
    for (const auto& [request, deadline] : pending_) {
        next = std::min(next.value_or(deadline), deadline);
    }
    return next;
}

void poison_detector::excuse_recent_crashes()
{
    for (auto suspect = suspects_.begin(); suspect != suspects_.end();) {
        crash_record& crashes = suspect->second;
        for (const auto& [target, lost] : lost_targets_) {
            crashes.targets.erase(target);
            crashes.no_token_targets.erase(target);
        }
        if (!exceeds_threshold(crashes)) {
            pending_.erase(suspect->first);
        }
        suspect = crashes.targets.empty() ? suspects_.erase(suspect) : std::next(suspect);
    }
}

bool poison_detector::exceeds_threshold(const crash_record& crashes) const
{
    return crashes.no_token_targets.size() >= settings_.no_token_crash_threshold ||
           crashes.targets.size() >= settings_.crash_threshold ||
           (!crashes.no_token_targets.empty() && account_exceeds_threshold(crashes.account));
}

void poison_detector::quarantine(fingerprint request, core::instant until)
{
    core::instant& current = quarantined_until_[request];
    current = std::max(current, until);
}

bool poison_detector::is_quarantined(fingerprint request, core::instant now) const
{
    const auto found = quarantined_until_.find(request);
    return found != quarantined_until_.end() && now < found->second;
}

bool poison_detector::is_suspect(fingerprint request, core::instant now) const
{
    const auto found = suspects_.find(request);
    return found != suspects_.end() && now < found->second.last_crash + settings_.window;
}

void poison_detector::forget_expired(core::instant now)
{
    const auto is_old = [&](core::instant at) { return at + settings_.window <= now; };
    std::erase_if(suspects_, [&](const auto& each) {
        return is_old(each.second.last_crash) && !pending_.contains(each.first);
    });
    std::erase_if(quarantined_until_, [&](const auto& each) { return each.second <= now; });
    std::erase_if(lost_targets_, [&](const auto& each) {
        return each.second + settings_.mass_loss_window <= now;
    });
    for (auto& [account, crashes] : account_crashes_) {
        while (!crashes.empty() && is_old(crashes.front())) {
            crashes.pop_front();
        }
    }
    std::erase_if(account_crashes_, [](const auto& each) { return each.second.empty(); });
}

bool poison_detector::is_mass_loss() const
{
    return lost_targets_.size() >= settings_.mass_loss_threshold;
}

bool poison_detector::account_exceeds_threshold(const core::account_name& account) const
{
    const auto found = account_crashes_.find(account);
    return found != account_crashes_.end() &&
           found->second.size() >= settings_.account_crash_threshold;
}

} // namespace cyclamen::generation
