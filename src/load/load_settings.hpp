#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include "core/socket_address.hpp"
#include "core/time.hpp"

namespace cyclamen::load {

/// One client account of a load.
struct load_account {
    /// Bearer key.
    const std::string key;
    /// Part of the requests relative to other accounts.
    const double weight;

    auto operator<=>(const load_account&) const = default;
};

/// Lengths between two bounds, both included.
struct length_range {
    const std::uint64_t min;
    const std::uint64_t max;

    auto operator<=>(const length_range&) const = default;
};

/// What requests a load sends.
struct load_settings {
    const std::uint64_t seed;
    /// Requests a second, on average; arrivals don't wait for answers.
    const double rate;
    const core::duration length;
    /// No more requests than this are sent.
    const std::uint64_t most_requests;
    const std::string model;
    const std::vector<load_account> accounts;
    /// Tokens of a short answer.
    const length_range short_answer;
    /// Tokens of a long answer.
    const length_range long_answer;
    /// Part of the answers that are long.
    const double long_share;
    /// Part of the callers that wait for the whole answer.
    const double whole_share;
    /// Part of the requests that carry a request key.
    const double keyed_share;
    /// How many different prefixes the prompts start with.
    const std::uint32_t prefixes;
    /// Words of a prefix.
    const std::uint32_t prefix_words;

    auto operator<=>(const load_settings&) const = default;
};

/// @return the JSON schema of the settings of a load
[[nodiscard]] const nlohmann::json& load_schema();

/// Decodes the settings of a load that fit load_schema().
[[nodiscard]] load_settings decode_load_settings(const nlohmann::json& document);

} // namespace cyclamen::load
