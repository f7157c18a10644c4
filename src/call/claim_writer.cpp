#include "call/claim_writer.hpp"

#include <algorithm>

namespace cyclamen::call {

claim_writer::claim_writer(claim_store& store, core::duration retry_period)
    : store_{store}, retry_period_{retry_period}
{
}

void claim_writer::save(const claim_key& key, claim_record record, api::row_version expected,
                        core::instant now)
{
    const auto [place, is_new] = pending_.try_emplace(
        record.nonce, pending_record{key, std::nullopt, expected, std::nullopt, std::nullopt});
    place->second.record.emplace(std::move(record));
    write(place->second, now);
}

void claim_writer::write(pending_record& pending, core::instant now)
{
    pending.retry_at.reset();
    const claim_ticket ticket =
        store_.write(pending.key, *pending.record, pending.expected, *this, now);
    pending.ticket = ticket;
    tickets_.emplace(ticket, pending.record->nonce);
}

void claim_writer::on_claim_answer(claim_ticket ticket, const claim_answer& answer,
                                   core::instant now)
{
    const auto nonce = tickets_.extract(ticket);
    const auto found = pending_.find(nonce.mapped());
    if (found == pending_.end() || found->second.ticket != ticket) {
        return;
    }
    pending_record& pending = found->second;
    if (std::holds_alternative<claim_written>(answer)) {
        pending_.erase(found);
    }
    else if (const auto* current = std::get_if<claim_current>(&answer)) {
        on_claim_current(pending, *current, now);
    }
    else {
        pending.retry_at = now + retry_period_;
    }
}

void claim_writer::on_claim_current(pending_record& pending, const claim_current& current,
                                    core::instant now)
{
    const bool is_own =
        current.claim.has_value() && current.claim->record.nonce == pending.record->nonce;
    const bool is_done = is_own && current.claim->record == *pending.record;
    // Another send found no claim in a restored store and left the outcome open.
    const bool is_answer_to_unknown =
        current.claim.has_value() && current.claim->record.state == claim_state::unknown &&
        current.claim->record.body_hash == pending.record->body_hash &&
        pending.record->state == claim_state::answered;
    if (current.claim.has_value() && ((!is_own && !is_answer_to_unknown) || is_done)) {
        // Another send took over the released claim, or an earlier write took effect after all.
        pending_.erase(pending.record->nonce);
        return;
    }
    pending.expected = current.claim.has_value() ? current.claim->version : api::row_version{};
    write(pending, now);
}

std::optional<core::instant> claim_writer::next_deadline() const
{
    std::optional<core::instant> next;
    for (const auto& [nonce, pending] : pending_) {
        if (pending.retry_at.has_value()) {
            next = std::min(next.value_or(*pending.retry_at), *pending.retry_at);
        }
    }
    return next;
}

void claim_writer::on_timer(core::instant now)
{
    for (auto& [nonce, pending] : pending_) {
        if (pending.retry_at.has_value() && *pending.retry_at <= now) {
            write(pending, now);
        }
    }
}

} // namespace cyclamen::call
