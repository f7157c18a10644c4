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

/// @return the answer as one of the gathered commits hears it
api::table_event renumbered(const api::table_event& event, api::table_request request)
{
    if (const auto* failed = std::get_if<api::table_failed>(&event)) {
        return api::table_failed{request, failed->may_be_applied, failed->detail};
    }
    return api::table_committed{request};
}

} // namespace

table_client::table_client(table_client_settings settings, sender send)
    : settings_{settings}, send_{std::move(send)}
{
}

api::table_request table_client::next_request()
{
    last_ = last_.next();
    return last_;
}

api::table_request table_client::commit(std::vector<api::row_write> writes,
                                        table_listener& listener, core::instant now)
{
    assert(!writes.empty());
    const api::table_request request = next_request();
    ++commits_;
    waiting_.push_back(waiting_commit{request, std::move(writes), &listener});
    set_due(now);
    return request;
}

api::table_request table_client::read(std::vector<api::row_key> keys, table_listener& listener)
{
    const api::table_request request = next_request();
    ++reads_;
    readers_.emplace(request, &listener);
    send_(api::table_read{request, std::move(keys)});
    return request;
}

api::table_request table_client::scan(std::string table, std::string prefix,
                                      table_listener& listener)
{
    const api::table_request request = next_request();
    ++reads_;
    readers_.emplace(request, &listener);
    send_(api::table_scan{request, std::move(table), std::move(prefix)});
    return request;
}

void table_client::set_due(core::instant now)
{
    if (waiting_.empty()) {
        due_.reset();
        return;
    }
    // The first commit after a pause leaves at once.
    due_ = last_flush_.has_value() ? std::max(now, *last_flush_ + settings_.flush_period) : now;
}

std::optional<core::instant> table_client::next_due() const
{
    return due_;
}

void table_client::on_time(core::instant now)
{
    if (!due_.has_value() || *due_ > now) {
        return;
    }
    last_flush_ = now;
    send_batch(take_batch());
    set_due(now);
}

table_client::batch table_client::take_batch()
{
    batch taken;
    std::set<api::row_key> rows;
    std::deque<waiting_commit> left;
    for (waiting_commit& each : waiting_) {
        const bool fits = taken.empty() || rows.size() + each.writes.size() <= settings_.most_rows;
        bool meets = false;
        for (const api::row_write& write : each.writes) {
            meets = meets || rows.contains(write.key);
        }
        for (const api::row_write& write : each.writes) {
            // A later commit of the same row must not overtake one that stays behind.
            rows.insert(write.key);
        }
        if (fits && !meets) {
            taken.push_back(std::move(each));
        }
        else {
            left.push_back(std::move(each));
        }
    }
    waiting_ = std::move(left);
    return taken;
}

void table_client::send_batch(batch taken)
{
    std::vector<api::row_write> writes;
    for (const waiting_commit& each : taken) {
        std::copy(each.writes.begin(), each.writes.end(), std::back_inserter(writes));
    }
    const api::table_request request = next_request();
    ++transactions_;
    batches_.emplace(request, std::move(taken));
    send_(api::table_commit{request, std::move(writes)});
}

void table_client::on_event(const api::table_event& event, core::instant now)
{
    const api::table_request request = request_of(event);
    if (std::holds_alternative<api::table_failed>(event)) {
        ++failures_;
    }
    if (auto gathered = batches_.extract(request); !gathered.empty()) {
        on_batch_answer(gathered.mapped(), event, now);
    }
    else if (auto reader = readers_.extract(request); !reader.empty()) {
        reader.mapped()->on_table_answer(event, now);
    }
}

void table_client::on_batch_answer(const batch& answered, const api::table_event& event,
                                   core::instant now)
{
    if (const auto* conflict = std::get_if<api::table_conflict>(&event)) {
        on_batch_conflict(answered, *conflict, now);
        return;
    }
    for (const waiting_commit& each : answered) {
        each.listener->on_table_answer(renumbered(event, each.request), now);
    }
}

void table_client::on_batch_conflict(const batch& answered, const api::table_conflict& conflict,
                                     core::instant now)
{
    std::map<api::row_key, const api::row*> failed;
    for (const api::row& each : conflict.current) {
        failed.emplace(each.key, &each);
    }
    batch unharmed;
    std::vector<std::pair<table_listener*, api::table_conflict>> told;
    for (const waiting_commit& each : answered) {
        std::vector<api::row> own;
        for (const api::row_write& write : each.writes) {
            const auto found = failed.find(write.key);
            if (found != failed.end()) {
                own.push_back(*found->second);
            }
        }
        if (own.empty()) {
            unharmed.push_back(each);
        }
        else {
            told.emplace_back(each.listener, api::table_conflict{each.request, std::move(own)});
        }
    }
    if (!unharmed.empty()) {
        send_batch(std::move(unharmed));
    }
    for (const auto& [listener, answer] : told) {
        listener->on_table_answer(answer, now);
    }
}

} // namespace cyclamen::table
