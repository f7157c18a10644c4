#include "generation/checkpoint_service.hpp"

#include <algorithm>

#include "core/log.hpp"

namespace cyclamen::generation {

namespace {

/// Interval at which expired checkpoints of other instances are removed.
constexpr core::duration expiry_period = std::chrono::seconds{5};

/// Rounds up to a multiple of a period, so that the runs of many generations are sent in one batch.
core::instant round_up(core::instant deadline, core::duration period)
{
    const core::duration past = deadline.time_since_epoch() % period;
    return past == core::duration::zero() ? deadline : deadline + (period - past);
}

} // namespace

checkpoint_service::checkpoint_service(checkpoint_peer own, checkpoint_settings settings,
                                       checkpoint_charts charts, checkpoint_output& output)
    : own_{std::move(own)}, settings_{settings}, charts_{std::move(charts)}, output_{output},
      holder_{settings.retention, settings.owner_timeout}
{
    holder_.set_live_instances({own_.party});
}

void checkpoint_service::set_peers(std::vector<checkpoint_peer> peers, core::instant now)
{
    now_ = now;
    std::set<api::checkpoint_party> live_instances{own_.party};
    for (const checkpoint_peer& each : peers) {
        live_instances.insert(each.party);
    }
    holder_.set_live_instances(std::move(live_instances));
    directory_ = peer_directory{own_, std::move(peers)};
    for (const auto& [id, writer] : writers_) {
        writer->on_peers_changed(now);
        schedule(id);
    }
}

void checkpoint_service::on_message(const api::checkpoint_party& from,
                                    const api::checkpoint_message& message, core::instant now)
{
    now_ = now;
    unresponsive_until_.erase(from);
    std::visit([&](const auto& each) { handle(from, each); }, message);
}

void checkpoint_service::find_checkpoint(const api::checkpoint_key& key,
                                         const caller_position& position, core::instant now)
{
    now_ = now;
    std::set<api::checkpoint_party> queried{own_.party};
    for (const api::checkpoint_party& each : directory_.holders_of(key)) {
        if (queried.size() <= settings_.max_queried_peers) {
            queried.insert(each);
        }
    }
    std::set<api::checkpoint_party> pending;
    for (const api::checkpoint_party& each : queried) {
        const auto backoff = unresponsive_until_.find(each);
        if (backoff == unresponsive_until_.end() || backoff->second <= now) {
            pending.insert(each);
        }
    }
    const std::uint64_t request = ++last_request_;
    const auto added = takeovers_.emplace(
        request, std::make_unique<takeover>(own_.party.name, request, key, position,
                                            std::move(queried), std::move(pending),
                                            charts_.takeover, static_cast<takeover_host&>(*this)));
    search_deadlines_.emplace(request, now + settings_.answer_limit);
    added.first->second->start();
    // This instance may itself hold the checkpoint.
    for (const addressed_message& each :
         holder_.on_fetch(own_.party, api::checkpoint_fetch{request, key}, now)) {
        if (each.to != own_.party) {
            send(each.to, each.message);
        }
        else if (const auto* answer = std::get_if<api::checkpoint_fetched>(&each.message)) {
            handle(own_.party, *answer);
        }
    }
}

void checkpoint_service::open(checkpoint_plan plan, const journal& tokens, std::uint64_t released,
                              core::instant now)
{
    now_ = now;
    const core::generation_id id = plan.id;
    by_key_.insert_or_assign(plan.key, id);
    const auto added = writers_.insert_or_assign(
        id, std::make_unique<checkpoint_writer>(std::move(plan), tokens, released, settings_,
                                                charts_.checkpoint,
                                                static_cast<checkpoint_writer_host&>(*this)));
    added.first->second->start(now);
    schedule(id);
}

void checkpoint_service::enable_streaming(core::generation_id id)
{
    const auto found = writers_.find(id);
    if (found != writers_.end()) {
        found->second->enable_streaming();
        schedule(id);
    }
}

void checkpoint_service::finish(core::generation_id id)
{
    const auto found = writers_.find(id);
    if (found != writers_.end()) {
        found->second->finish();
        schedule(id);
    }
}

void checkpoint_service::release_all(core::generation_id id)
{
    const auto found = writers_.find(id);
    if (found != writers_.end()) {
        found->second->release_all();
    }
}

void checkpoint_service::close(core::generation_id id)
{
    const auto found = writers_.find(id);
    if (found == writers_.end()) {
        return;
    }
    const auto keyed = by_key_.find(found->second->plan().key);
    if (keyed != by_key_.end() && keyed->second == id) {
        by_key_.erase(keyed);
    }
    writers_.erase(found);
    schedule(id);
}

std::optional<std::uint64_t> checkpoint_service::released(core::generation_id id) const
{
    const auto found = writers_.find(id);
    return found == writers_.end() ? std::nullopt : found->second->released();
}

void checkpoint_service::on_timer(core::instant now)
{
    now_ = now;
    flush();
    expire_searches();
    if (now >= next_expiry_) {
        holder_.remove_expired(now);
        next_expiry_ = now + expiry_period;
    }
}

std::optional<core::instant> checkpoint_service::next_deadline() const
{
    std::optional<core::instant> next;
    const auto consider = [&](core::instant deadline) {
        next = std::min(next.value_or(deadline), deadline);
    };
    if (!deadlines_.empty()) {
        consider(deadlines_.begin()->first);
    }
    for (const auto& [request, limit] : search_deadlines_) {
        consider(limit);
    }
    if (holder_.size() > 0) {
        consider(next_expiry_);
    }
    return next;
}

void checkpoint_service::send(const api::checkpoint_party& to, api::checkpoint_message message)
{
    output_.send(to, std::move(message));
}

void checkpoint_service::on_unprotected(core::generation_id id)
{
    if (!directory_.peers().empty()) {
        ++unprotected_count_;
        core::log_event(core::log_level::warning, "checkpoint_without_holder",
                        {{"generation", id.value()}});
    }
    listener_->on_released(id);
}

void checkpoint_service::send_fetch(const api::checkpoint_party& peer,
                                    const api::checkpoint_fetch& message)
{
    if (peer != own_.party) {
        send(peer, message);
    }
}

void checkpoint_service::on_unresponsive(const api::checkpoint_party& peer)
{
    unresponsive_until_.insert_or_assign(peer, now_ + settings_.unresponsive_backoff);
}

void checkpoint_service::on_search_ended(const api::checkpoint_key& key,
                                         std::optional<found_checkpoint> found)
{
    listener_->on_search_ended(key, found);
}

void checkpoint_service::handle(const api::checkpoint_party& from,
                                const api::checkpoint_open& message)
{
    send(from, holder_.on_open(from, message, now_));
}

void checkpoint_service::handle(const api::checkpoint_party& from,
                                const api::checkpoint_append& message)
{
    for (api::checkpoint_message& answer : holder_.on_append(from, message, now_)) {
        send(from, std::move(answer));
    }
}

void checkpoint_service::handle(const api::checkpoint_party& from,
                                const api::checkpoint_ack& message)
{
    for (const api::checkpoint_held& held : message.held) {
        if (checkpoint_writer* writer = writer_of(held.key)) {
            const core::generation_id id = writer->plan().id;
            writer->on_held(from, held, now_);
            schedule(id);
        }
    }
}

void checkpoint_service::handle(const api::checkpoint_party& /*from*/,
                                const api::checkpoint_superseded& message)
{
    if (checkpoint_writer* writer = writer_of(message.key)) {
        const core::generation_id id = writer->plan().id;
        writer->on_superseded(message);
        schedule(id);
    }
}

void checkpoint_service::handle(const api::checkpoint_party& from,
                                const api::checkpoint_unknown& message)
{
    if (checkpoint_writer* writer = writer_of(message.key)) {
        const core::generation_id id = writer->plan().id;
        writer->on_unknown(from, message, now_);
        schedule(id);
    }
}

void checkpoint_service::handle(const api::checkpoint_party& from,
                                const api::checkpoint_fetch& message)
{
    for (const addressed_message& each : holder_.on_fetch(from, message, now_)) {
        if (each.to != own_.party) {
            send(each.to, each.message);
        }
        else if (const auto* lost = std::get_if<api::checkpoint_superseded>(&each.message)) {
            handle(own_.party, *lost);
        }
    }
}

void checkpoint_service::handle(const api::checkpoint_party& from,
                                const api::checkpoint_fetched& message)
{
    const auto found = takeovers_.find(message.request);
    if (found == takeovers_.end()) {
        return;
    }
    found->second->on_fetched(from, message);
    if (found->second->is_over()) {
        takeovers_.erase(found);
        search_deadlines_.erase(message.request);
    }
}

checkpoint_writer* checkpoint_service::writer_of(const api::checkpoint_key& key)
{
    const auto found = by_key_.find(key);
    return found == by_key_.end() ? nullptr : writers_.at(found->second).get();
}

void checkpoint_service::schedule(core::generation_id id)
{
    const auto old = deadline_of_.find(id);
    if (old != deadline_of_.end()) {
        deadlines_.erase({old->second, id});
        deadline_of_.erase(old);
    }
    const auto writer = writers_.find(id);
    if (writer == writers_.end()) {
        return;
    }
    if (const auto deadline = writer->second->next_deadline()) {
        const core::instant rounded = round_up(*deadline, settings_.stream_flush_period);
        deadline_of_.emplace(id, rounded);
        deadlines_.emplace(rounded, id);
    }
}

void checkpoint_service::flush()
{
    std::map<api::checkpoint_party, std::vector<api::checkpoint_run>> batches;
    std::vector<core::generation_id> due_ids;
    while (!deadlines_.empty() && deadlines_.begin()->first <= now_) {
        const core::generation_id id = deadlines_.begin()->second;
        deadline_of_.erase(id);
        deadlines_.erase(deadlines_.begin());
        due_ids.push_back(id);
    }
    for (const core::generation_id id : due_ids) {
        checkpoint_writer& writer = *writers_.at(id);
        writer.on_timer(now_);
        if (auto run = writer.take_run(now_)) {
            batches[*writer.holder()].push_back(*std::move(run));
        }
        schedule(id);
    }
    for (auto& [holder, runs] : batches) {
        send(holder, api::checkpoint_append{std::move(runs)});
    }
}

void checkpoint_service::expire_searches()
{
    std::vector<std::uint64_t> ended;
    for (const auto& [request, limit] : search_deadlines_) {
        if (limit <= now_) {
            ended.push_back(request);
        }
    }
    for (const std::uint64_t request : ended) {
        takeovers_.at(request)->on_answer_timeout();
        takeovers_.erase(request);
        search_deadlines_.erase(request);
    }
}

} // namespace cyclamen::generation
