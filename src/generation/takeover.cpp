#include "generation/takeover.hpp"

#include <tuple>

namespace cyclamen::generation {

takeover::takeover(core::instance_name own_name, std::uint64_t request, api::checkpoint_key key,
                   caller_position position, std::set<api::checkpoint_party> queried,
                   std::set<api::checkpoint_party> pending,
                   std::shared_ptr<const chart::chart> definition, takeover_host& host)
    : own_name_{std::move(own_name)}, request_{request}, key_{std::move(key)}, position_{std::move(
                                                                                   position)},
      queried_{std::move(queried)}, pending_{std::move(pending)}, host_{host}, machine_{std::move(
                                                                                   definition)}
{
}

void takeover::start()
{
    machine_.start(*this);
    if (pending_.empty()) {
        on_answer_timeout();
    }
}

void takeover::on_fetched(const api::checkpoint_party& from, const api::checkpoint_fetched& answer)
{
    if (answer.request != request_) {
        return;
    }
    pending_.erase(from);
    answer_ = &answer;
    machine_.raise(static_cast<chart::symbol>(takeover_event::answered), *this);
    answer_ = nullptr;
}

void takeover::on_answer_timeout()
{
    machine_.raise(static_cast<chart::symbol>(takeover_event::limit_passed), *this);
}

bool takeover::holds(chart::symbol /*guard*/) const
{
    return pending_.empty();
}

void takeover::perform(chart::symbol action)
{
    switch (static_cast<takeover_action>(action)) {
    case takeover_action::ask_holders:
        for (const api::checkpoint_party& peer : queried_) {
            host_.send_fetch(peer, api::checkpoint_fetch{request_, key_});
        }
        break;
    case takeover_action::note_answer:
        note_answer();
        break;
    case takeover_action::note_silent:
        for (const api::checkpoint_party& peer : pending_) {
            host_.on_unresponsive(peer);
        }
        break;
    case takeover_action::settle:
        host_.on_search_ended(key_, result());
        break;
    }
}

void takeover::note_answer()
{
    if (!answer_->state.has_value()) {
        return;
    }
    const auto has_live_owner = [](const api::checkpoint_fetched& each) {
        return !each.taken && each.confirmed && !each.state->finished;
    };
    // Order of preference: a complete answer that covers the caller's position, a copy whose owner
    // is alive, a copy that covers the position, the highest epoch, the most tokens.
    const auto rank = [&](const api::checkpoint_fetched& each) {
        const api::checkpoint& state = *each.state;
        const bool covers =
            lineage{state.lineage}.covers(position_.branch, position_.held, state.tokens.size());
        return std::tuple{covers && state.finished, has_live_owner(each), covers, each.epoch,
                          state.tokens.size()};
    };
    const claim answered_claim{answer_->epoch, answer_->owner};
    if (answer_->taken) {
        granted_claim_ = std::max(granted_claim_.value_or(answered_claim), answered_claim);
    }
    else if (has_live_owner(*answer_)) {
        owner_is_live_ = true;
    }
    else if (answer_->owner != own_name_ && !answer_->state->finished) {
        competing_claim_ = std::max(competing_claim_.value_or(answered_claim), answered_claim);
    }
    if (best_answer_ == nullptr || rank(*answer_) > rank(*best_answer_)) {
        best_answer_ = std::make_unique<const api::checkpoint_fetched>(*answer_);
    }
}

std::optional<found_checkpoint> takeover::result() const
{
    if (best_answer_ == nullptr) {
        return std::nullopt;
    }
    if (!wins_ownership()) {
        return found_checkpoint{best_answer_->epoch, false, *best_answer_->state};
    }
    // The new epoch has to exceed every epoch that was granted to another instance.
    const api::checkpoint_epoch epoch =
        competing_claim_.has_value()
            ? std::max(granted_claim_->first, competing_claim_->first).next()
            : granted_claim_->first;
    return found_checkpoint{epoch, true, *best_answer_->state};
}

bool takeover::wins_ownership() const
{
    return granted_claim_.has_value() && !owner_is_live_ && !best_answer_->state->finished &&
           (!competing_claim_.has_value() || *granted_claim_ > *competing_claim_);
}

} // namespace cyclamen::generation
