#pragma once

#include <map>

#include "call/claim_store.hpp"
#include "table/table_client.hpp"

namespace cyclamen::call {

/// Stores claims in the platform's table service, one row per claim in the table `calls`.
class table_claim_store final : public claim_store, private table::table_listener {
  public:
    /// @param table client of the table service; outlives the store
    explicit table_claim_store(table::table_client& table) : table_{table} {}

    claim_ticket write(const claim_key& key, const claim_record& record, api::row_version expected,
                       claim_listener& listener, core::instant now) override;
    claim_ticket read(const claim_key& key, claim_listener& listener) override;

  private:
    table::table_client& table_;
    std::map<claim_ticket, claim_listener*> listeners_;

    void on_table_answer(const api::table_event& answer, core::instant now) override;
};

} // namespace cyclamen::call
