#pragma once

#include <compare>
#include <variant>

#include "call/claim_record.hpp"
#include "core/time.hpp"

namespace cyclamen::call {

/// Identifies one request to the claim store.
using claim_ticket = api::table_request;

/// The record was written to the table.
struct claim_written {
    auto operator<=>(const claim_written&) const = default;
};

/// The current claim: the answer to a read, or to a write whose version condition failed.
struct claim_current {
    /// Empty if there is no claim.
    const std::optional<stored_claim> claim;

    auto operator<=>(const claim_current&) const = default;
};

/// No usable answer arrived.
struct claim_failed {
    /// True if a write may have taken effect or may still take effect.
    const bool may_be_applied;

    auto operator<=>(const claim_failed&) const = default;
};

using claim_answer = std::variant<claim_written, claim_current, claim_failed>;

/// Receives the answers to its own requests, on the decision task and never from within write() or
/// read().
class claim_listener {
  public:
    virtual ~claim_listener() = default;
    virtual void on_claim_answer(claim_ticket ticket, const claim_answer& answer,
                                 core::instant now) = 0;
};

/// Persistent store of the claims. Called on the decision task.
class claim_store {
  public:
    virtual ~claim_store() = default;

    /// Writes a claim if it still has the expected version (compare-and-set).
    /// @param key key of the claim
    /// @param record the record to write
    /// @param expected version that the claim must have; 0 if it must not exist
    /// @param listener receives claim_written, claim_current if the condition failed, or
    ///        claim_failed
    /// @param now current instant
    /// @return identifies the answer
    virtual claim_ticket write(const claim_key& key, const claim_record& record,
                               api::row_version expected, claim_listener& listener,
                               core::instant now) = 0;

    /// Reads a claim; the listener receives claim_current or claim_failed.
    /// @return identifies the answer
    virtual claim_ticket read(const claim_key& key, claim_listener& listener) = 0;
};

} // namespace cyclamen::call
