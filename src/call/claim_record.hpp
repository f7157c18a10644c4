#pragma once

#include <compare>
#include <optional>
#include <string>

#include "api/call_messages.hpp"
#include "api/table_messages.hpp"
#include "core/identifier.hpp"

namespace cyclamen::call {

/// Identifies the claim of one request: the client account and its idempotency key.
struct claim_key {
    const core::account_name account;
    const core::request_key key;

    auto operator<=>(const claim_key&) const = default;
};

/// State of a claimed call, visible to all instances.
enum class claim_state {
    /// The owner may send the call or has already sent it.
    claimed,
    /// The owner has not sent the call and never will; another send of the request may claim it.
    released,
    /// The call has run; `response` is its answer.
    answered,
    /// The call was sent and no answer arrived.
    unknown,
};

/// Content of the row of a claim.
struct claim_record {
    const claim_state state;
    /// Identifies the send of the request that owns the claim.
    const std::string nonce;
    /// Hash of method, service, path and body.
    const std::string body_hash;
    /// Set if the state is `answered` and the response was small enough to store.
    const std::optional<api::service_response> response;

    auto operator<=>(const claim_record&) const = default;
};

/// A claim in the table, with the version of its row.
struct stored_claim {
    const claim_record record;
    const api::row_version version;

    auto operator<=>(const stored_claim&) const = default;
};

} // namespace cyclamen::call
