#include "limits/memory_ledger.hpp"

#include <algorithm>
#include <tuple>

namespace cyclamen::limits {

holder_id memory_ledger::open(memory_holder& holder)
{
    last_id_ = last_id_.next();
    entries_.emplace(last_id_, entry{.holder = &holder});
    return last_id_;
}

void memory_ledger::set(holder_id id, const held_memory& held, core::instant now)
{
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        return;
    }
    entry& changed = found->second;
    const bool was_empty = changed.input == 0 && changed.output == 0;
    if (was_empty || held.input > changed.input || held.output < changed.output) {
        changed.progressed_at = now;
    }
    input_bytes_ += held.input - changed.input;
    const std::size_t output_memory = held.output + held.output_slack;
    output_bytes_ += output_memory - changed.output_memory;
    changed.output_memory = output_memory;
    changed.input = held.input;
    changed.output = held.output;
    changed.is_stream = held.is_stream;
}

void memory_ledger::close(holder_id id)
{
    const auto found = entries_.find(id);
    if (found != entries_.end()) {
        input_bytes_ -= found->second.input;
        output_bytes_ -= found->second.output_memory;
        entries_.erase(found);
    }
}

bool memory_ledger::may_read(holder_id id) const
{
    const auto found = entries_.find(id);
    return found == entries_.end() || found->second.output <= limits_.max_unread_bytes;
}

void memory_ledger::enforce(core::instant now)
{
    enforce_sum(input_bytes_, limits_.max_input_bytes, &entry::input, now);
    enforce_sum(output_bytes_, limits_.max_output_bytes, &entry::output_memory, now);
}

bool memory_ledger::is_read_stream(const entry& checked, core::instant now) const
{
    return checked.is_stream && now - checked.progressed_at < limits_.reading_time;
}

void memory_ledger::enforce_sum(const std::size_t& sum, std::size_t limit, std::size_t entry::*part,
                                core::instant now)
{
    while (sum > limit) {
        const auto holders = static_cast<std::size_t>(
            std::count_if(entries_.begin(), entries_.end(),
                          [&](const auto& each) { return each.second.*part > 0; }));
        const std::size_t equal_share = limit / holders;
        const auto rank = [&](const entry& ranked) {
            const auto bytes = static_cast<double>(ranked.*part);
            const bool is_spared = is_read_stream(ranked, now) && ranked.*part <= equal_share;
            return std::tuple{bytes > 0, !is_spared,
                              bytes * core::to_seconds(now - ranked.progressed_at), bytes};
        };
        const auto chosen = std::max_element(entries_.begin(), entries_.end(),
                                             [&](const auto& left, const auto& right) {
                                                 return rank(left.second) < rank(right.second);
                                             });
        const holder_id id = chosen->first;
        const entry given_up = chosen->second;
        given_up.holder->give_up(
            held_memory{.input = given_up.input,
                        .output = given_up.output,
                        .output_slack = given_up.output_memory - given_up.output,
                        .is_stream = given_up.is_stream});
        close(id);
    }
}

} // namespace cyclamen::limits
