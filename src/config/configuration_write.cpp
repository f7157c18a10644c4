#include "config/configuration_write.hpp"

#include <algorithm>

#include "config/revision_rows.hpp"
#include "core/text.hpp"

namespace cyclamen::config {

namespace {

constexpr core::duration operator_retry_delay = std::chrono::seconds{5};

} // namespace

configuration_write::configuration_write(const write_settings& settings,
                                         std::shared_ptr<const chart::chart> definition,
                                         proposal requested, const revision_codec& codec,
                                         write_host& host)
    : settings_{settings}, machine_{std::move(definition)}, proposal_{std::move(requested)},
      codec_{codec}, host_{host}
{
}

void configuration_write::start(core::instant now)
{
    now_ = now;
    machine_.start(*this);
}

void configuration_write::on_table_event(const api::table_event& event, core::instant now)
{
    now_ = now;
    const api::table_request request =
        std::visit([](const auto& each) { return each.request; }, event);
    if (request == request_ && !is_done()) {
        std::visit([this](const auto& each) { handle(each); }, event);
    }
}

std::optional<core::instant> configuration_write::next_deadline() const
{
    std::optional<core::instant> next;
    for (const auto& [timeout, timer] : timers_) {
        next = std::min(next.value_or(timer.first), timer.first);
    }
    return next;
}

void configuration_write::on_timer(core::instant now)
{
    now_ = now;
    for (auto next = next_deadline(); next.has_value() && *next <= now; next = next_deadline()) {
        const auto expired = std::find_if(timers_.begin(), timers_.end(), [&](const auto& each) {
            return each.second.first == *next;
        });
        const chart::symbol event = expired->second.second;
        timers_.erase(expired);
        machine_.raise(event, *this);
    }
}

void configuration_write::raise(write_event event)
{
    machine_.raise(static_cast<chart::symbol>(event), *this);
}

void configuration_write::handle(const api::table_committed& /*event*/)
{
    raise(write_event::committed);
}

void configuration_write::handle(const api::table_conflict& /*event*/)
{
    raise(write_event::condition_failed);
}

void configuration_write::handle(const api::table_rows& event)
{
    latest_.set(read_head(event));
    stored_.set(std::nullopt);
    if (state_name() == "reading_head") {
        base_.set(latest_.get());
    }
    else if (const api::row* row = find_row(event.rows, revision_row(proposed()))) {
        const auto copy = codec_.decode(row->value);
        if (copy.ok()) {
            stored_.set(*copy);
        }
    }
    raise(write_event::rows_read);
}

void configuration_write::handle(const api::table_failed& event)
{
    const bool was_write = state_name() == "committing" || state_name() == "fencing";
    raise(was_write && event.may_be_applied ? write_event::outcome_unknown
                                            : write_event::table_unavailable);
}

configuration_write::head configuration_write::read_head(const api::table_rows& answer) const
{
    const api::row* row = find_row(answer.rows, head_row());
    if (row == nullptr) {
        return head{api::row_version{0, answer.era}, {}, {}};
    }
    const auto copy = codec_.decode(row->value);
    return copy.ok() ? head{row->version, copy->revision, copy->author, copy->era}
                     : head{row->version, core::revision{}, {}};
}

bool configuration_write::holds(chart::symbol guard) const
{
    switch (static_cast<write_guard>(guard)) {
    case write_guard::head_went_back:
        return host_.in_force() >
               api::configuration_position{base_.get().era, base_.get().revision};
    case write_guard::expectation_met:
        return proposal_.expected.value_or(base_.get().revision) == base_.get().revision;
    case write_guard::own_write_found:
        return stored_.get().has_value() && stored_.get()->nonce == proposal_.nonce;
    case write_guard::table_restored:
        return latest_.get().version.era() != base_.get().version.era();
    case write_guard::head_unchanged:
        return latest_.get().version == base_.get().version;
    case write_guard::write_ruled_out:
        break;
    }
    return latest_.get().revision == base_.get().revision;
}

void configuration_write::perform(chart::symbol action)
{
    switch (static_cast<write_action>(action)) {
    case write_action::read_head:
        request_ = host_.read({head_row()});
        break;
    case write_action::commit:
        commit();
        break;
    case write_action::read_back:
        read_back();
        break;
    case write_action::fence:
        fence();
        break;
    case write_action::take_over:
        host_.take_over(*stored_.get());
        break;
    case write_action::answer_accepted:
        host_.accepted(*stored_.get());
        break;
    case write_action::answer_conflict:
        answer_conflict();
        break;
    case write_action::answer_unavailable:
        host_.refused(core::to_failure(
            core::make_error(
                core::error_kind::unavailable,
                "the configuration was not accepted: the table service could not store it",
                "apply it again once the table service answers"),
            true, operator_retry_delay));
        break;
    case write_action::answer_undetermined:
        host_.refused(core::to_failure(
            core::make_error(core::error_kind::outcome_unknown,
                             core::concat("the table service did not confirm whether revision ",
                                          proposed().value(), " was accepted"),
                             "check the history for it before applying it again"),
            false, operator_retry_delay));
        break;
    }
}

void configuration_write::start_timer(chart::state_timeout timeout)
{
    const auto kind = static_cast<write_timeout>(timeout.timeout);
    timers_.insert_or_assign(timeout.timeout, std::pair{now_ + duration_of(kind), timeout.event});
}

void configuration_write::stop_timer(chart::state_timeout timeout)
{
    timers_.erase(timeout.timeout);
}

core::duration configuration_write::duration_of(write_timeout timeout) const
{
    switch (timeout) {
    case write_timeout::write_limit:
        return settings_.write_limit;
    case write_timeout::doubt_limit:
        return settings_.doubt_limit;
    case write_timeout::retry_pause:
        break;
    }
    return settings_.retry_pause;
}

void configuration_write::commit()
{
    const head& base = base_.get();
    const core::wall_time now = host_.wall();
    const api::table_era era = base.version.era();
    const api::configuration_copy full{
        proposed(), base.revision, proposal_.author, proposal_.nonce, now, proposal_.declarations,
        era};
    const api::configuration_copy summary{
        proposed(), base.revision, proposal_.author, proposal_.nonce, now, {}, era};
    request_ = host_.commit(
        {api::row_write{head_row(), codec_.encode(summary), base.version},
         api::row_write{revision_row(proposed()), codec_.encode(full), api::row_version{}}});
}

void configuration_write::fence()
{
    const head& base = base_.get();
    const api::configuration_copy unchanged{
        base.revision, base.revision, base.author, proposal_.nonce, host_.wall(), {}, base.era};
    request_ = host_.commit({api::row_write{head_row(), codec_.encode(unchanged), base.version}});
}

void configuration_write::read_back()
{
    request_ = host_.read({head_row(), revision_row(proposed())});
}

void configuration_write::answer_conflict()
{
    const auto& stored = stored_.get();
    const head winner = stored.has_value()
                            ? head{api::row_version{}, stored->revision, stored->author}
                            : latest_.get();
    host_.refused(core::to_failure(
        core::make_error(
            core::error_kind::conflict,
            core::concat("revision ", winner.revision.value(), " of ",
                         winner.author.empty() ? "an unknown author" : winner.author,
                         " is the newest"),
            core::concat("review its changes, then apply with --expect ", winner.revision.value())),
        true));
}

} // namespace cyclamen::config
