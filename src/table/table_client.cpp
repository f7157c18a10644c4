#include "table/table_client.hpp"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <set>

namespace cyclamen::table {

namespace {

api::table_request request_of(const api::table_event& event)
{
    return std::visit([](const auto& each) { return each.request; }, event);
}

/// @return the era of the table when it answered, 0 if there was no answer
api::table_era era_of(const api::table_event& event)
{
    if (const auto* committed = std::get_if<api::table_committed>(&event)) {
        return committed->era;
    }
    if (const auto* conflict = std::get_if<api::table_conflict>(&event)) {
        return conflict->era;
    }
    const auto* rows = std::get_if<api::table_rows>(&event);
    return rows == nullptr ? api::table_era{} : rows->era;
}

/// @return the answer to a batch, with the request number of one of its commits
api::table_event with_request_number(const api::table_event& event, api::table_request request)
{
    if (const auto* failed = std::get_if<api::table_failed>(&event)) {
        return api::table_failed{request, failed->may_be_applied, failed->detail};
    }
    return api::table_committed{request, era_of(event)};
}

} // namespace

table_client::table_client(table_client_settings settings, sender send)
    : settings_{settings}, send_{std::move(send)}
{
}

api::table_request table_client::next_request()
{
    last_request_ = last_request_.next();
    return last_request_;
}

api::table_request table_client::commit(std::vector<api::row_write> writes,
                                        table_listener& listener, core::instant now)
{
    assert(!writes.empty());
    const api::table_request request = next_request();
    ++commits_;
    pending_.push_back(pending_commit{request, std::move(writes), &listener});
    schedule_flush(now);
    return request;
}

api::table_request table_client::read(std::vector<api::row_key> keys, table_listener& listener)
{
    const api::table_request request = next_request();
    ++reads_;
    read_listeners_.emplace(request, &listener);
    send_(api::table_read{request, std::move(keys)});
    return request;
}

api::table_request table_client::scan(std::string table, std::string prefix,
                                      table_listener& listener)
{
    const api::table_request request = next_request();
    ++reads_;
    read_listeners_.emplace(request, &listener);
    send_(api::table_scan{request, std::move(table), std::move(prefix)});
    return request;
}

void table_client::schedule_flush(core::instant now)
{
    if (pending_.empty()) {
        flush_deadline_.reset();
        return;
    }
    // The first commit after an idle period is sent at once.
    flush_deadline_ =
        last_flush_.has_value() ? std::max(now, *last_flush_ + settings_.flush_period) : now;
}

std::optional<core::instant> table_client::next_deadline() const
{
    return flush_deadline_;
}

void table_client::on_timer(core::instant now)
{
    if (!flush_deadline_.has_value() || *flush_deadline_ > now) {
        return;
    }
    last_flush_ = now;
    send_batch(take_batch());
    schedule_flush(now);
}

table_client::batch table_client::take_batch()
{
    batch gathered;
    std::set<api::row_key> rows;
    std::deque<pending_commit> remaining;
    for (pending_commit& pending : pending_) {
        const bool fits =
            gathered.empty() || rows.size() + pending.writes.size() <= settings_.max_rows;
        bool overlaps = false;
        for (const api::row_write& write : pending.writes) {
            overlaps = overlaps || rows.contains(write.key);
        }
        for (const api::row_write& write : pending.writes) {
            // The rows of a commit that stays pending count as well: a later commit of the same row
            // must not overtake it.
            rows.insert(write.key);
        }
        if (fits && !overlaps) {
            gathered.push_back(std::move(pending));
        }
        else {
            remaining.push_back(std::move(pending));
        }
    }
    pending_ = std::move(remaining);
    return gathered;
}

void table_client::send_batch(batch gathered)
{
    std::vector<api::row_write> writes;
    for (const pending_commit& pending : gathered) {
        std::copy(pending.writes.begin(), pending.writes.end(), std::back_inserter(writes));
    }
    const api::table_request request = next_request();
    ++transactions_;
    batches_.emplace(request, std::move(gathered));
    send_(api::table_commit{request, std::move(writes)});
}

void table_client::on_event(const api::table_event& event, core::instant now)
{
    const api::table_request request = request_of(event);
    note_era(event, now);
    if (std::holds_alternative<api::table_failed>(event)) {
        ++failures_;
    }
    if (auto answered = batches_.extract(request); !answered.empty()) {
        handle_batch_answer(answered.mapped(), event, now);
    }
    else if (auto reader = read_listeners_.extract(request); !reader.empty()) {
        reader.mapped()->on_table_answer(event, now);
    }
}

void table_client::note_era(const api::table_event& event, core::instant now)
{
    const api::table_era era = era_of(event);
    if (era <= era_) {
        return;
    }
    era_ = era;
    for (restore_listener* each : restore_listeners_) {
        each->on_table_restored(now);
    }
}

void table_client::handle_batch_answer(const batch& answered, const api::table_event& event,
                                       core::instant now)
{
    if (const auto* conflict = std::get_if<api::table_conflict>(&event)) {
        handle_batch_conflict(answered, *conflict, now);
        return;
    }
    for (const pending_commit& pending : answered) {
        pending.listener->on_table_answer(with_request_number(event, pending.request), now);
    }
}

void table_client::handle_batch_conflict(const batch& answered, const api::table_conflict& conflict,
                                         core::instant now)
{
    std::map<api::row_key, const api::row*> failed;
    for (const api::row& row : conflict.current) {
        failed.emplace(row.key, &row);
    }
    batch unaffected;
    std::vector<std::pair<table_listener*, api::table_conflict>> conflicts;
    for (const pending_commit& pending : answered) {
        std::vector<api::row> own;
        for (const api::row_write& write : pending.writes) {
            const auto found = failed.find(write.key);
            if (found != failed.end()) {
                own.push_back(*found->second);
            }
        }
        if (own.empty()) {
            unaffected.push_back(pending);
        }
        else {
            conflicts.emplace_back(
                pending.listener,
                api::table_conflict{pending.request, std::move(own), conflict.era});
        }
    }
    if (!unaffected.empty()) {
        send_batch(std::move(unaffected));
    }
    for (const auto& [listener, answer] : conflicts) {
        listener->on_table_answer(answer, now);
    }
}

} // namespace cyclamen::table
