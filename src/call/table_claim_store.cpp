#include "call/table_claim_store.hpp"

#include "call/claim_codec.hpp"
#include "core/log.hpp"

namespace cyclamen::call {

namespace {

/// @return the claim of a row; an undecodable claim counts as one with unknown outcome
stored_claim to_claim(const api::row& row)
{
    auto record = decode_claim(row.value);
    if (!record.ok()) {
        core::log_event(core::log_level::error, "claim_unreadable",
                        {{"row", row.key.row}, {"error", record.status().message()}});
        return stored_claim{{claim_state::unknown, {}, {}, {}}, row.version};
    }
    return stored_claim{*record, row.version};
}

claim_current to_claim_current(const std::vector<api::row>& rows)
{
    if (rows.empty() || rows.front().version.is_absent()) {
        return claim_current{};
    }
    return claim_current{to_claim(rows.front())};
}

claim_answer to_answer(const api::table_event& event)
{
    if (const auto* conflict = std::get_if<api::table_conflict>(&event)) {
        return to_claim_current(conflict->current);
    }
    if (const auto* rows = std::get_if<api::table_rows>(&event)) {
        return to_claim_current(rows->rows);
    }
    if (const auto* failed = std::get_if<api::table_failed>(&event)) {
        return claim_failed{failed->may_be_applied};
    }
    return claim_written{};
}

} // namespace

claim_ticket table_claim_store::write(const claim_key& key, const claim_record& record,
                                      api::row_version expected, claim_listener& listener,
                                      core::instant now)
{
    const claim_ticket ticket = table_.commit(
        {api::row_write{row_key_of(key), encode_claim(record), expected}}, *this, now);
    listeners_.emplace(ticket, &listener);
    return ticket;
}

claim_ticket table_claim_store::read(const claim_key& key, claim_listener& listener)
{
    const claim_ticket ticket = table_.read({row_key_of(key)}, *this);
    listeners_.emplace(ticket, &listener);
    return ticket;
}

void table_claim_store::on_table_answer(const api::table_event& answer, core::instant now)
{
    const claim_ticket ticket = std::visit([](const auto& each) { return each.request; }, answer);
    const auto found = listeners_.extract(ticket);
    if (!found.empty()) {
        found.mapped()->on_claim_answer(ticket, to_answer(answer), now);
    }
}

} // namespace cyclamen::call
