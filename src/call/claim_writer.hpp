#pragma once

#include <map>
#include <optional>

#include "call/claim_store.hpp"

namespace cyclamen::call {

/// Writes the claims of this instance that no call awaits, their final states above all, and
/// retries until the store confirms them. Writing a released claim also prevents an earlier write
/// of the same claim that is still in flight from taking effect. Opens no socket and reads no
/// clock. Used on the decision task.
class claim_writer final : private claim_listener {
  public:
    /// @param store persistent store of the claims; outlives this object
    /// @param retry_period delay after a write without an answer
    claim_writer(claim_store& store, core::duration retry_period);

    /// Writes a record until it is stored; replaces a pending record with the same nonce.
    /// @param key key of the claim
    /// @param record the record to store; its nonce identifies the owner of the claim
    /// @param expected version that the claim is expected to have
    /// @param now current instant
    void save(const claim_key& key, claim_record record, api::row_version expected,
              core::instant now);

    /// @return when on_timer() should be called next, empty if no write has to be retried
    [[nodiscard]] std::optional<core::instant> next_deadline() const;
    void on_timer(core::instant now);

    /// @return number of records that are not in the table yet
    [[nodiscard]] std::size_t backlog() const { return pending_.size(); }

  private:
    struct pending_record {
        claim_key key;
        std::optional<claim_record> record;
        api::row_version expected;
        std::optional<claim_ticket> ticket;
        std::optional<core::instant> retry_at;
    };

    claim_store& store_;
    const core::duration retry_period_;
    /// By nonce.
    std::map<std::string, pending_record> pending_;
    std::map<claim_ticket, std::string> tickets_;

    void write(pending_record& pending, core::instant now);
    void on_claim_answer(claim_ticket ticket, const claim_answer& answer,
                         core::instant now) override;
    void on_claim_current(pending_record& pending, const claim_current& current, core::instant now);
};

} // namespace cyclamen::call
