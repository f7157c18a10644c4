#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "core/identifier.hpp"
#include "model/label_set.hpp"

namespace cyclamen::model {

/// A client account: a customer who sends requests, with its key, its share of the capacity and its
/// priority.
struct client_account {
    const core::account_name name;
    /// Hash of the bearer key, as returned by hash_key(); the key itself is never stored.
    const std::string key_hash;
    const label_set labels;
    /// Share of the capacity, relative to the shares of other accounts; at least 1.
    const std::uint32_t share;
    /// Priority class; a higher class goes first.
    const std::uint32_t priority;

    auto operator<=>(const client_account&) const = default;
};

/// @param key bearer key of a client account
/// @return SHA-256 of the key in lower-case hexadecimal digits, as stored in declarations
[[nodiscard]] std::string hash_key(const std::string& key);

} // namespace cyclamen::model
