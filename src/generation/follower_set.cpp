#include "generation/follower_set.hpp"

#include <algorithm>

#include "generation/request_rules.hpp"

namespace cyclamen::generation {

namespace {

/// Interval at which the holder is queried while another instance owns a generation.
constexpr core::duration poll_period = std::chrono::milliseconds{200};

/// How many consecutive searches may find nothing for a generation that was found before: its owner
/// may be moving the checkpoint to another holder.
constexpr int max_misses = 5;

api::generation_request request_at(const api::generation_request& request, std::uint64_t held,
                                   const std::string& branch)
{
    return api::generation_request{
        request.caller,     request.bearer,    request.key, request.service, request.prompt,
        request.max_tokens, request.streaming, held,        request.timeout, branch};
}

} // namespace

void follower_set::add(const api::checkpoint_key& key, const api::generation_request& request,
                       core::instant now)
{
    follower_group& group = groups_[key];
    group.followers.push_back(follower{request, now + request.timeout});
    if (!group.searching) {
        start_search(key);
    }
}

void follower_set::hand_over(const api::checkpoint_key& key, const api::generation_request& request,
                             core::instant now)
{
    follower_group& group = groups_[key];
    group.has_found_owner = true;
    group.followers.push_back(follower{request, now + request.timeout});
    if (!group.searching) {
        group.search_at = now;
    }
}

void follower_set::remove(core::caller_id caller)
{
    for (auto& [key, group] : groups_) {
        std::vector<follower> kept;
        for (const follower& each : group.followers) {
            if (each.request.caller != caller) {
                kept.push_back(each);
            }
        }
        group.followers.swap(kept);
    }
}

void follower_set::on_search_ended(const api::checkpoint_key& key,
                                   const std::optional<found_checkpoint>& found, core::instant now)
{
    const auto entry = groups_.find(key);
    if (entry == groups_.end()) {
        return;
    }
    follower_group& group = entry->second;
    group.searching = false;
    const bool has_other_owner = found.has_value() && !found->taken && !found->state.finished;
    const bool may_reappear =
        !found.has_value() && group.has_found_owner && ++group.misses <= max_misses;
    if (has_other_owner) {
        group.misses = 0;
        group.has_found_owner = true;
        deliver(group, found->state, now);
    }
    if (has_other_owner || may_reappear) {
        group.search_at = now + poll_period;
        return;
    }
    const auto ended = groups_.extract(entry);
    for (const follower& each : ended.mapped().followers) {
        host_.admit(each.request, found);
    }
}

void follower_set::on_timer(core::instant now)
{
    std::vector<api::checkpoint_key> due_keys;
    for (auto& [key, group] : groups_) {
        if (group.search_at.has_value() && *group.search_at <= now) {
            due_keys.push_back(key);
        }
    }
    for (const api::checkpoint_key& key : due_keys) {
        if (groups_.at(key).followers.empty()) {
            groups_.erase(key);
        }
        else {
            start_search(key);
        }
    }
}

std::optional<core::instant> follower_set::next_deadline() const
{
    std::optional<core::instant> next;
    for (const auto& [key, group] : groups_) {
        if (group.search_at.has_value()) {
            next = std::min(next.value_or(*group.search_at), *group.search_at);
        }
    }
    return next;
}

void follower_set::start_search(const api::checkpoint_key& key)
{
    follower_group& group = groups_.at(key);
    group.searching = true;
    group.search_at.reset();
    const api::generation_request& first = group.followers.front().request;
    const caller_position position{first.held_branch, first.tokens_held};
    host_.find_checkpoint(key, position);
}

void follower_set::deliver(follower_group& group, const api::checkpoint& copy, core::instant now)
{
    std::vector<follower> kept;
    for (const follower& each : group.followers) {
        if (auto request = deliver_to(each, copy, now)) {
            kept.push_back(follower{*std::move(request), each.deadline});
        }
    }
    group.followers.swap(kept);
}

std::optional<api::generation_request>
follower_set::deliver_to(const follower& member, const api::checkpoint& copy, core::instant now)
{
    const api::generation_request& request = member.request;
    const std::uint64_t size = copy.tokens.size();
    const lineage origin{copy.lineage};
    if (detail::hash_of(request) != copy.request_hash) {
        host_.refuse(request.caller, detail::key_reused());
        return std::nullopt;
    }
    if (!origin.covers(request.held_branch, request.tokens_held, size)) {
        host_.refuse(request.caller, detail::position_unknown(request.tokens_held));
        return std::nullopt;
    }
    if (now >= member.deadline) {
        host_.refuse(request.caller, detail::deadline_missed());
        return std::nullopt;
    }
    if (!request.streaming || size == request.tokens_held) {
        return request;
    }
    host_.send(api::answer_tokens{
        request.caller,
        request.tokens_held,
        {copy.tokens.begin() + static_cast<std::ptrdiff_t>(request.tokens_held), copy.tokens.end()},
        origin.branch()});
    return request_at(request, size, origin.branch());
}

} // namespace cyclamen::generation
