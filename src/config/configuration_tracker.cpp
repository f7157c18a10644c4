#include "config/configuration_tracker.hpp"

#include <algorithm>

#include "config/revision_rows.hpp"
#include "core/log.hpp"

namespace cyclamen::config {

configuration_tracker::configuration_tracker(const tracker_settings& settings,
                                             const revision_codec& codec, tracker_host& host,
                                             std::uint64_t seed)
    : settings_{settings}, refresh_after_{settings.refresh_after +
                                          settings.refresh_jitter * (seed % 100) / 100},
      codec_{codec}, host_{host}
{
}

void configuration_tracker::start(core::instant now)
{
    next_read_at_ = now;
    next_copy_request_ = now;
    host_.send_to_random_peers(settings_.fan_out,
                               api::configuration_request{position().revision, position().era});
}

api::configuration_knowledge configuration_tracker::knowledge(core::instant now) const
{
    std::optional<core::duration> age;
    if (verified_at_.has_value()) {
        age = now - *verified_at_;
    }
    return api::configuration_knowledge{position().revision, age, position().era};
}

bool configuration_tracker::is_verified(core::instant now) const
{
    return verified_at_.has_value() && now - *verified_at_ <= settings_.max_verification_age;
}

void configuration_tracker::on_peer_knowledge(const api::peer_identity& from,
                                              const api::configuration_knowledge& reported,
                                              std::optional<core::instant> not_before,
                                              core::instant now)
{
    if (reported.position() > position()) {
        request_copy(from, now);
    }
    else if (reported.position() == position() && reported.age.has_value() &&
             not_before.has_value()) {
        mark_verified(*not_before - *reported.age, now);
    }
}

void configuration_tracker::paused(core::instant now)
{
    if (!ready_ || is_verified(now)) {
        return;
    }
    hold_until_ = now + settings_.hold_limit;
    pending_read_.set(std::nullopt);
    next_read_at_ = now;
    host_.hold_work(true, now);
    host_.send_to_random_peers(settings_.fan_out,
                               api::configuration_request{position().revision, position().era});
}

void configuration_tracker::on_message(const api::peer_received& received, core::instant now)
{
    if (const auto* notice = std::get_if<api::revision_notice>(&received.message)) {
        if (notice->position() > position()) {
            request_copy(received.from, now);
        }
    }
    else if (const auto* request = std::get_if<api::configuration_request>(&received.message)) {
        if (in_force().has_value() && request->position() < position()) {
            host_.send(received.from, *in_force());
        }
    }
    else if (const auto* copy = std::get_if<api::configuration_copy>(&received.message)) {
        next_copy_request_ = now;
        take_over(*copy, now);
    }
}

void configuration_tracker::on_table_event(const api::table_event& event, core::instant now)
{
    const auto& pending = pending_read_.get();
    const api::table_request request =
        std::visit([](const auto& each) { return each.request; }, event);
    if (!pending.has_value() || pending->request != request) {
        return;
    }
    const pending_read answered = *pending;
    pending_read_.set(std::nullopt);
    next_read_at_ = now + settings_.read_pause;
    const auto* answer = std::get_if<api::table_rows>(&event);
    if (answer == nullptr) {
        return;
    }
    if (answered.revision.has_value()) {
        handle_revision_row(answer->rows, *answered.revision, answered.sent, now);
    }
    else {
        handle_head_row(*answer, answered, now);
    }
}

void configuration_tracker::take_over(const api::configuration_copy& accepted, core::instant now)
{
    if (accepted.position() <= position()) {
        return;
    }
    const auto configuration = codec_.read_declarations(accepted);
    if (!configuration.ok()) {
        core::log_event(core::log_level::error, "configuration_unreadable",
                        {{"revision", accepted.revision.value()},
                         {"problem", std::string{configuration.status().message()}}});
        return;
    }
    keep_earlier(accepted.revision);
    in_force_.set(accepted);
    // Whether this revision is the newest has not been verified yet.
    verified_at_.reset();
    // Delayed by the jitter: of the instances that receive a revision at the same time, a few read
    // the head row and the others learn the result from them.
    next_read_at_ = now + (refresh_after_ - settings_.refresh_after);
    ready_ = true;
    core::log_event(core::log_level::info, "configuration_in_force",
                    {{"revision", accepted.revision.value()}, {"author", accepted.author}});
    host_.put_in_force(*configuration, now);
    host_.send_to_random_peers(settings_.fan_out,
                               api::revision_notice{accepted.revision, accepted.era});
}

void configuration_tracker::keep_earlier(core::revision newer)
{
    if (const auto& succeeded = in_force_.get(); succeeded.has_value()) {
        earlier_.emplace(succeeded->revision, *succeeded);
    }
    // A restored table gives lost revisions out again.
    earlier_.erase(earlier_.lower_bound(newer), earlier_.end());
    while (earlier_.size() > settings_.max_earlier) {
        earlier_.erase(earlier_.begin());
    }
}

core::instant configuration_tracker::next_deadline() const
{
    core::instant next = next_read_at_;
    if (pending_read_.get().has_value()) {
        next = pending_read_.get()->sent + settings_.read_limit;
    }
    else if (verified_at_.has_value()) {
        next = std::max(next, *verified_at_ + refresh_after_);
    }
    return hold_until_.has_value() ? std::min(next, *hold_until_) : next;
}

void configuration_tracker::on_timer(core::instant now)
{
    if (hold_until_.has_value() && *hold_until_ <= now) {
        release_hold(now);
    }
    if (pending_read_.get().has_value() &&
        now - pending_read_.get()->sent >= settings_.read_limit) {
        pending_read_.set(std::nullopt);
        next_read_at_ = now;
    }
    const bool is_recent = verified_at_.has_value() && now - *verified_at_ < refresh_after_;
    if (pending_read_.get().has_value() || is_recent || now < next_read_at_) {
        return;
    }
    send_read({head_row()}, std::nullopt, now);
}

api::configuration_position configuration_tracker::position() const
{
    return in_force().has_value() ? in_force()->position() : api::configuration_position{};
}

void configuration_tracker::mark_verified(core::instant verified_at, core::instant now)
{
    verified_at_ = std::max(verified_at_.value_or(verified_at), verified_at);
    ready_ = true;
    if (hold_until_.has_value() && is_verified(now)) {
        release_hold(now);
    }
}

void configuration_tracker::request_copy(const api::peer_identity& peer, core::instant now)
{
    if (now < next_copy_request_) {
        return;
    }
    next_copy_request_ = now + settings_.copy_limit;
    host_.send(peer, api::configuration_request{position().revision, position().era});
}

void configuration_tracker::send_read(std::vector<api::row_key> rows,
                                      std::optional<core::revision> revision, core::instant sent)
{
    const api::table_request request = host_.read(std::move(rows));
    pending_read_.set(pending_read{request, sent, position(), revision});
}

void configuration_tracker::handle_head_row(const api::table_rows& answer, const pending_read& read,
                                            core::instant now)
{
    const api::row* row = find_row(answer.rows, head_row());
    if (row == nullptr) {
        if (!in_force().has_value()) {
            mark_verified(read.sent, now);
        }
        else {
            write_again(api::row_version{0, answer.era}, core::revision{}, read, now);
        }
        return;
    }
    const auto head = codec_.decode(row->value);
    if (!head.ok()) {
        core::log_event(core::log_level::error, "configuration_unreadable",
                        {{"row", row->key.row}, {"problem", std::string{head.status().message()}}});
    }
    else if (head->position() == position()) {
        mark_verified(read.sent, now);
    }
    else if (head->position() > position()) {
        send_read({revision_row(head->revision)}, head->revision, read.sent);
    }
    else {
        write_again(row->version, head->revision, read, now);
    }
}

void configuration_tracker::write_again(api::row_version head, core::revision head_revision,
                                        const pending_read& read, core::instant now)
{
    if (position() != read.held) {
        // The configuration came into force after the table was read.
        return;
    }
    const api::configuration_copy& lost = *in_force();
    core::log_event(core::log_level::warning, "configuration_table_went_back",
                    {{"in_force", lost.revision.value()},
                     {"head", head_revision.value()},
                     {"era", head.era().value()}});
    const api::configuration_copy summary{lost.revision, lost.base, lost.author, lost.nonce,
                                          lost.accepted, {},        lost.era};
    std::vector<api::row_write> writes{
        api::row_write{head_row(), codec_.encode(summary), head},
        api::row_write{revision_row(lost.revision), codec_.encode(lost), std::nullopt}};
    for (auto each = earlier_.upper_bound(head_revision); each != earlier_.end(); ++each) {
        writes.push_back(
            api::row_write{revision_row(each->first), codec_.encode(each->second), std::nullopt});
    }
    host_.commit(std::move(writes), now);
}

void configuration_tracker::handle_revision_row(const std::vector<api::row>& rows,
                                                core::revision expected, core::instant sent,
                                                core::instant now)
{
    const api::row* row = find_row(rows, revision_row(expected));
    const auto copy = row == nullptr
                          ? absl::StatusOr<api::configuration_copy>{absl::NotFoundError("")}
                          : codec_.decode(row->value);
    if (copy.ok()) {
        take_over(*copy, now);
        if (position() == copy->position() && copy->revision == expected) {
            mark_verified(sent, now);
        }
    }
}

void configuration_tracker::release_hold(core::instant now)
{
    hold_until_.reset();
    host_.hold_work(false, now);
}

} // namespace cyclamen::config
