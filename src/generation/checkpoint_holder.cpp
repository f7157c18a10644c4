#include "generation/checkpoint_holder.hpp"

namespace cyclamen::generation {

api::checkpoint_message checkpoint_holder::on_open(const api::checkpoint_party& from,
                                                   const api::checkpoint_open& message,
                                                   core::instant now)
{
    const auto known = entries_.find(message.key);
    if (known != entries_.end()) {
        entry& stored = *known->second;
        if (stored.epoch > message.epoch ||
            (stored.epoch == message.epoch && stored.owner != from)) {
            return api::checkpoint_superseded{message.key, message.epoch};
        }
        const bool is_repeat = stored.epoch == message.epoch &&
                               stored.tokens.size() >= message.state.tokens.size() &&
                               stored.lineage.size() >= message.state.lineage.size();
        if (is_repeat) {
            stored.last_contact = now;
            stored.confirmed = true;
            return api::checkpoint_ack{{{message.key, stored.epoch, stored.tokens.size()}}};
        }
    }
    const api::checkpoint& state = message.state;
    entries_.insert_or_assign(
        message.key,
        std::make_unique<entry>(entry{from, message.epoch, state.version, state.request_hash,
                                      state.lineage, state.tokens, state.finished, now, true}));
    return api::checkpoint_ack{{{message.key, message.epoch, state.tokens.size()}}};
}

std::vector<api::checkpoint_message>
checkpoint_holder::on_append(const api::checkpoint_party& from,
                             const api::checkpoint_append& message, core::instant now)
{
    std::vector<api::checkpoint_message> answers;
    std::vector<api::checkpoint_held> acks;
    for (const api::checkpoint_run& run : message.runs) {
        const auto known = entries_.find(run.key);
        if (known == entries_.end()) {
            answers.emplace_back(api::checkpoint_unknown{run.key, run.epoch});
            continue;
        }
        entry& stored = *known->second;
        if (!is_owner(stored, from, run.epoch)) {
            answers.emplace_back(api::checkpoint_superseded{run.key, run.epoch});
            continue;
        }
        append_run(stored, run);
        stored.last_contact = now;
        stored.confirmed = true;
        acks.push_back(api::checkpoint_held{run.key, run.epoch, stored.tokens.size()});
    }
    if (!acks.empty()) {
        answers.emplace_back(api::checkpoint_ack{std::move(acks)});
    }
    return answers;
}

std::vector<addressed_message> checkpoint_holder::on_fetch(const api::checkpoint_party& from,
                                                           const api::checkpoint_fetch& message,
                                                           core::instant now)
{
    const auto known = entries_.find(message.key);
    if (known == entries_.end()) {
        return {{from, api::checkpoint_fetched{
                           message.request, message.key, {}, {}, false, false, std::nullopt}}};
    }
    const entry& stored = *known->second;
    const api::checkpoint copy{stored.version, stored.request_hash, stored.lineage, stored.tokens,
                               stored.finished};
    if (keeps_owner(stored, from, now)) {
        return {{from, api::checkpoint_fetched{message.request, message.key, stored.epoch,
                                               stored.owner.name, false, stored.confirmed, copy}}};
    }
    std::vector<addressed_message> sent;
    if (stored.owner != from) {
        sent.push_back({stored.owner, api::checkpoint_superseded{message.key, stored.epoch}});
    }
    auto taken = std::make_unique<entry>(entry{from, stored.epoch.next(), stored.version,
                                               stored.request_hash, stored.lineage, stored.tokens,
                                               stored.finished, now, false});
    sent.push_back({from, api::checkpoint_fetched{message.request, message.key, taken->epoch,
                                                  taken->owner.name, true, false, copy}});
    known->second = std::move(taken);
    return sent;
}

bool checkpoint_holder::keeps_owner(const entry& stored, const api::checkpoint_party& requester,
                                    core::instant now) const
{
    return stored.finished ||
           (stored.owner != requester && live_instances_.contains(stored.owner) &&
            now < stored.last_contact + owner_timeout_);
}

void checkpoint_holder::remove_expired(core::instant now)
{
    std::erase_if(entries_,
                  [&](const auto& each) { return each.second->last_contact + retention_ <= now; });
}

bool checkpoint_holder::is_owner(const entry& stored, const api::checkpoint_party& party,
                                 api::checkpoint_epoch epoch)
{
    return stored.owner == party && stored.epoch == epoch;
}

void checkpoint_holder::append_run(entry& stored, const api::checkpoint_run& run)
{
    // A run that starts beyond the stored tokens is dropped; the acknowledged count tells the owner
    // where to resume.
    if (run.first > stored.tokens.size()) {
        return;
    }
    const std::uint64_t known = stored.tokens.size() - run.first;
    if (known < run.tokens.size()) {
        stored.tokens.insert(stored.tokens.end(),
                             run.tokens.begin() + static_cast<std::ptrdiff_t>(known),
                             run.tokens.end());
    }
    stored.finished = stored.finished || run.finished;
}

} // namespace cyclamen::generation
