#include "generation/outcome_reporter.hpp"

namespace cyclamen::generation {

void outcome_reporter::on_opened(core::generation_id generation, attempt_subject subject,
                                 core::instant now)
{
    open_.erase(generation);
    const auto added = open_.emplace(generation, open_attempt{std::move(subject), now, now}).first;
    for (outcome_listener* listener : listeners_) {
        listener->on_opened(added->second.subject, now);
    }
}

void outcome_reporter::on_tokens(core::generation_id generation, std::uint64_t count,
                                 core::instant now)
{
    const auto found = open_.find(generation);
    if (found == open_.end() || count == 0) {
        return;
    }
    open_attempt& open = found->second;
    for (outcome_listener* listener : listeners_) {
        if (open.tokens == 0) {
            listener->on_first_token(open.subject, now - open.opened, now);
        }
        else {
            listener->on_gap(open.subject, now - open.last_run, now);
        }
    }
    open.tokens += count;
    open.last_run = now;
}

void outcome_reporter::on_finished(core::generation_id generation, core::instant now)
{
    const auto ended = open_.extract(generation);
    if (ended.empty()) {
        return;
    }
    const open_attempt& open = ended.mapped();
    for (outcome_listener* listener : listeners_) {
        listener->on_finished(open.subject, open.tokens, now - open.opened, now);
    }
}

void outcome_reporter::on_lost(core::generation_id generation, loss_cause cause, bool poison,
                               core::instant now)
{
    const auto ended = open_.extract(generation);
    if (ended.empty()) {
        return;
    }
    const open_attempt& open = ended.mapped();
    const attempt_loss loss{cause, poison, now - open.opened};
    for (outcome_listener* listener : listeners_) {
        listener->on_lost(open.subject, loss, now);
    }
}

void outcome_reporter::excuse(const attempt_subject& subject, core::instant now)
{
    for (outcome_listener* listener : listeners_) {
        listener->on_loss_excused(subject, now);
    }
}

std::optional<attempt_subject> outcome_reporter::subject_of(core::generation_id generation) const
{
    const auto found = open_.find(generation);
    if (found == open_.end()) {
        return std::nullopt;
    }
    return found->second.subject;
}

} // namespace cyclamen::generation
