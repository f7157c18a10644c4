#include "instance/operator_session.hpp"

#include <algorithm>

#include "config/revision_rows.hpp"
#include "core/clock.hpp"
#include "core/text.hpp"

namespace cyclamen::instance {

namespace {

absl::Status table_unavailable()
{
    return core::make_error(core::error_kind::unavailable, "the table service does not answer",
                            "retry once the table service is available");
}

} // namespace

void operator_session::on_table_answer(const api::table_event& answer, core::instant now)
{
    --open_requests_;
    on_answer(answer, now);
}

api::table_request operator_session::read(std::vector<api::row_key> rows)
{
    ++open_requests_;
    return host_.table().read(std::move(rows), *this);
}

api::table_request operator_session::commit(std::vector<api::row_write> writes, core::instant now)
{
    ++open_requests_;
    return host_.table().commit(std::move(writes), *this, now);
}

api::table_request operator_session::scan(std::string table, std::string prefix)
{
    ++open_requests_;
    return host_.table().scan(std::move(table), std::move(prefix), *this);
}

void operator_session::refuse(const absl::Status& reason)
{
    host_.answer(api::operator_refusal{caller_, core::to_failure(reason, true)});
}

apply_session::apply_session(core::caller_id caller, session_host& host, config::proposal proposal,
                             std::optional<core::revision> source)
    : operator_session{caller, host}, proposal_{std::move(proposal)}, source_{source}
{
}

void apply_session::start(core::instant now)
{
    now_ = now;
    if (source_.has_value()) {
        operator_session::read({config::revision_row(*source_)});
        return;
    }
    begin_write(proposal_.declarations);
}

std::optional<core::instant> apply_session::next_deadline() const
{
    return write_ != nullptr ? write_->next_deadline() : std::nullopt;
}

void apply_session::on_timer(core::instant now)
{
    now_ = now;
    if (write_ != nullptr) {
        write_->on_timer(now);
    }
}

bool apply_session::is_answered() const
{
    return refused_ || (write_ != nullptr && write_->is_done());
}

void apply_session::on_answer(const api::table_event& answer, core::instant now)
{
    now_ = now;
    if (write_ != nullptr) {
        write_->on_table_event(answer, now);
        return;
    }
    refused_ = true;
    const auto* found = std::get_if<api::table_rows>(&answer);
    if (found == nullptr) {
        refuse(table_unavailable());
        return;
    }
    const auto copy = found->rows.empty()
                          ? absl::StatusOr<api::configuration_copy>{core::make_error(
                                core::error_kind::not_found,
                                core::concat("revision ", source_->value(), " was never accepted"),
                                "choose a revision from the history")}
                          : host().codec().decode(found->rows.front().value);
    if (!copy.ok()) {
        refuse(copy.status());
        return;
    }
    refused_ = false;
    begin_write(copy->declarations);
}

void apply_session::begin_write(const std::string& declarations)
{
    config::write_host& self = *this;
    write_ = std::make_unique<config::configuration_write>(
        config::write_settings{}, host().write_chart(),
        config::proposal{proposal_.author, proposal_.nonce, declarations, proposal_.expected},
        host().codec(), self);
    write_->start(now_);
}

api::table_request apply_session::read(std::vector<api::row_key> rows)
{
    return operator_session::read(std::move(rows));
}

api::table_request apply_session::commit(std::vector<api::row_write> writes)
{
    return operator_session::commit(std::move(writes), now_);
}

void apply_session::take_over(const api::configuration_copy& accepted)
{
    host().take_over(accepted, now_);
}

void apply_session::accepted(const api::configuration_copy& accepted)
{
    host().answer(api::configuration_answer{caller(), accepted});
}

void apply_session::refused(const core::failure& reason)
{
    host().answer(api::operator_refusal{caller(), reason});
}

api::configuration_position apply_session::in_force() const
{
    return host().in_force();
}

core::wall_time apply_session::wall() const
{
    return core::system_clock{}.wall();
}

void history_session::start(core::instant /*now*/)
{
    const api::row_key first = config::revision_row(core::revision{});
    scan(first.table, first.row.substr(0, first.row.find('/') + 1));
}

void history_session::on_answer(const api::table_event& answer, core::instant /*now*/)
{
    const auto* found = std::get_if<api::table_rows>(&answer);
    if (found == nullptr) {
        refuse(table_unavailable());
        return;
    }
    std::vector<api::configuration_copy> revisions;
    for (auto each = found->rows.rbegin(); each != found->rows.rend(); ++each) {
        const auto copy = host().codec().decode(each->value);
        if (copy.ok()) {
            revisions.push_back(api::configuration_copy{
                copy->revision, copy->base, copy->author, copy->nonce, copy->accepted, {}});
        }
    }
    host().answer(api::history_answer{caller(), std::move(revisions)});
}

} // namespace cyclamen::instance
