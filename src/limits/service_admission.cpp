#include "limits/service_admission.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>
#include <tuple>

#include "core/text.hpp"
#include "limits/fair_shares.hpp"

namespace cyclamen::limits {

namespace {

/// Weight of a new sample in the moving averages.
constexpr double smoothing_factor = 0.05;
/// Lower bound of the share when the load of accounts is compared; avoids a division by zero.
constexpr double min_share = 0.1;
constexpr core::duration min_retry_after = std::chrono::seconds{1};

void update_mean(double& mean, double value)
{
    mean = mean > 0.0 ? mean + smoothing_factor * (value - mean) : value;
}

} // namespace

void service_admission::set_peer_demand(const core::instance_name& peer, demand_table demand,
                                        core::instant now)
{
    forget_peer(peer);
    for (const auto& [account, requests] : demand) {
        peer_demand_[account] += requests;
        peer_request_count_ += requests;
    }
    peers_.emplace(peer, peer_state{std::move(demand), now});
}

void service_admission::forget_peer(const core::instance_name& peer)
{
    const auto known = peers_.find(peer);
    if (known == peers_.end()) {
        return;
    }
    for (const auto& [account, requests] : known->second.demand) {
        const auto sum = peer_demand_.find(account);
        sum->second -= requests;
        peer_request_count_ -= requests;
        if (sum->second == 0) {
            peer_demand_.erase(sum);
        }
    }
    peers_.erase(known);
}

std::optional<core::failure> service_admission::offer(const admission_request& request,
                                                      core::instant now)
{
    account_state& state = accounts_[request.account];
    state.priority = declared_.at(request.account).priority;
    has_changes_ = true;
    state.waiting.emplace(request.deadline, request.id);
    waiting_.emplace(request.id,
                     waiting_request{request.account, request.tokens, request.deadline});
    if (!may_start(state) && now >= shares_updated_at_ + settings_.min_share_update_period) {
        update_shares(now);
    }
    const core::duration time = estimate_duration(request.tokens);
    if (now + estimate_wait(state) + time > request.deadline) {
        // Refuses a request only by shares that already include its demand.
        update_shares(now);
    }
    const core::duration wait = estimate_wait(state);
    const bool misses_deadline = now + wait + time > request.deadline;
    if (misses_deadline || state.waiting.size() > settings_.max_waiting_per_account) {
        on_ended(request.id, false, now);
        return refusal(wait, misses_deadline
                                 ? "the request would not finish before its deadline"
                                 : "too many requests of the client account are waiting");
    }
    return std::nullopt;
}

void service_admission::release(std::vector<core::generation_id>& started,
                                std::vector<late_refusal>& refused, core::instant now)
{
    if (!has_waiting()) {
        return;
    }
    if (now >= shares_updated_at_ + settings_.share_update_period) {
        expire_peers(now);
        update_shares(now);
        for (auto& [name, state] : accounts_) {
            refuse_late(state, refused, now);
        }
    }
    if (!has_changes_) {
        return;
    }
    has_changes_ = false;
    while (account_entry* next = next_account_to_start()) {
        start_first(*next, started, now);
    }
}

void service_admission::on_ended(core::generation_id id, bool complete, core::instant now)
{
    has_changes_ = true;
    if (const auto found = open_.find(id); found != open_.end()) {
        const open_request ended = found->second;
        open_.erase(found);
        --accounts_.at(ended.account).open;
        if (complete && ended.tokens > 0) {
            const double seconds = core::to_seconds(now - ended.started_at);
            update_mean(seconds_per_token_, seconds / static_cast<double>(ended.tokens));
            update_mean(seconds_per_request_, seconds);
        }
        erase_if_idle(ended.account);
    }
    else if (const auto waited = waiting_.find(id); waited != waiting_.end()) {
        const core::account_name account = waited->second.account;
        accounts_.at(account).waiting.erase({waited->second.deadline, id});
        waiting_.erase(waited);
        erase_if_idle(account);
    }
}

void service_admission::append_demand(const core::service_name& service,
                                      std::vector<account_demand>& to) const
{
    for (const auto& [name, state] : accounts_) {
        to.push_back(account_demand{service, name, state.request_count()});
    }
}

double service_admission::instance_count() const
{
    const std::uint32_t presumed =
        instance_count_ > 0 ? instance_count_ : settings_.default_instance_count;
    return static_cast<double>(std::max<std::size_t>(presumed, peers_.size() + 1));
}

double service_admission::capacity() const
{
    return capacity_.value_or(std::numeric_limits<double>::max());
}

double service_admission::max_open() const
{
    return std::ceil(settings_.max_borrow_factor * capacity() / instance_count());
}

bool service_admission::is_underloaded() const
{
    const double known = static_cast<double>(open_.size() + waiting_.size() + peer_request_count_);
    return known * unreported_demand_factor() <= capacity();
}

double service_admission::weight_of(const core::account_name& account) const
{
    const auto found = declared_.find(account);
    return found == declared_.end() ? 1.0 : std::max(1.0, static_cast<double>(found->second.share));
}

double service_admission::unreported_demand_factor() const
{
    return instance_count() / static_cast<double>(peers_.size() + 1);
}

void service_admission::expire_peers(core::instant now)
{
    std::vector<core::instance_name> expired;
    for (const auto& [peer, state] : peers_) {
        if (now - state.received_at > settings_.report_ttl) {
            expired.push_back(peer);
        }
    }
    for (const core::instance_name& peer : expired) {
        forget_peer(peer);
    }
}

void service_admission::update_shares(core::instant now)
{
    shares_updated_at_ = now;
    has_changes_ = true;
    const double factor = unreported_demand_factor();
    std::vector<claim> claims;
    claims.reserve(accounts_.size() + peer_demand_.size());
    // The accounts of this instance come first, in map order, so that the loop below finds them.
    for (const auto& [name, state] : accounts_) {
        const auto others = peer_demand_.find(name);
        const double fleet =
            others == peer_demand_.end() ? 0.0 : static_cast<double>(others->second);
        claims.push_back(claim{weight_of(name), (fleet + state.request_count()) * factor});
    }
    for (const auto& [name, requests] : peer_demand_) {
        if (!accounts_.contains(name)) {
            claims.push_back(claim{weight_of(name), static_cast<double>(requests) * factor});
        }
    }
    const std::vector<double> parts = divide_fairly(capacity(), claims);
    limit_ = 0.0;
    std::size_t i = 0;
    for (auto& [name, state] : accounts_) {
        state.share =
            state.request_count() == 0 ? 0.0 : parts[i] * state.request_count() / claims[i].demand;
        limit_ += state.share;
        ++i;
    }
    limit_ = std::min(std::ceil(limit_), max_open());
}

core::duration service_admission::estimate_duration(std::uint64_t tokens) const
{
    return core::from_seconds(settings_.duration_margin * seconds_per_token_ *
                              static_cast<double>(tokens));
}

core::duration service_admission::estimate_wait(const account_state& account) const
{
    if (may_start(account)) {
        return core::duration::zero();
    }
    // Requests that must end first, and how many of them run in parallel.
    const double slots = std::max(1.0, std::ceil(account.share));
    const double queued_before = std::max(0.0, account.request_count() - slots);
    const double time_until_slot = seconds_per_request_ / std::max(1.0, limit_);
    return core::from_seconds(
        std::max(time_until_slot, queued_before * seconds_per_request_ / slots));
}

bool service_admission::may_start(const account_state& account) const
{
    const double open = static_cast<double>(open_.size());
    if (is_underloaded() && open + 1.0 <= max_open()) {
        return true;
    }
    if (open + 1.0 <= limit_) {
        return account.open + 1.0 <= std::ceil(account.share);
    }
    // An account with nothing open may exceed the limit, so that long requests of others don't
    // lock it out.
    const double margin = std::max(1.0, settings_.first_slot_margin * limit_);
    return account.open == 0 && open + 1.0 <= limit_ + margin;
}

service_admission::account_entry* service_admission::next_account_to_start()
{
    account_entry* best = nullptr;
    std::tuple<bool, std::int64_t, double> best_rank;
    for (account_entry& each : accounts_) {
        const account_state& state = each.second;
        if (state.waiting.empty() || !may_start(state)) {
            continue;
        }
        const double used = (state.open + 1.0) / std::max(state.share, min_share);
        // Accounts within their share are ordered by priority; those past it, by the ratio of open
        // requests to share.
        const bool is_past = used > 1.0;
        const std::tuple rank{is_past, is_past ? 0 : -std::int64_t{state.priority}, used};
        if (best == nullptr || rank < best_rank) {
            best = &each;
            best_rank = rank;
        }
    }
    return best;
}

void service_admission::refuse_late(account_state& account, std::vector<late_refusal>& refused,
                                    core::instant now)
{
    for (auto each = account.waiting.begin(); each != account.waiting.end();) {
        const auto& [deadline, id] = *each;
        const auto work = waiting_.find(id);
        if (now + estimate_duration(work->second.tokens) <= deadline) {
            ++each;
            continue;
        }
        refused.push_back(
            late_refusal{id, refusal(estimate_wait(account),
                                     "the request waited too long to finish before its deadline")});
        waiting_.erase(work);
        each = account.waiting.erase(each);
    }
}

void service_admission::start_first(account_entry& from, std::vector<core::generation_id>& started,
                                    core::instant now)
{
    account_state& state = from.second;
    const core::generation_id id = state.waiting.begin()->second;
    state.waiting.erase(state.waiting.begin());
    const auto work = waiting_.find(id);
    open_.emplace(id, open_request{from.first, work->second.tokens, now});
    waiting_.erase(work);
    ++state.open;
    started.push_back(id);
}

void service_admission::erase_if_idle(const core::account_name& account)
{
    const auto found = accounts_.find(account);
    if (found != accounts_.end() && found->second.request_count() == 0) {
        accounts_.erase(found);
    }
}

core::failure service_admission::refusal(core::duration wait, std::string_view problem) const
{
    constexpr bool not_run = true;
    return core::to_failure(core::make_error(core::error_kind::overloaded, problem,
                                             "retry after the given delay or set a later deadline"),
                            not_run, std::clamp(wait, min_retry_after, settings_.max_retry_after));
}

} // namespace cyclamen::limits
