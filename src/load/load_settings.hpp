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

/// A client account of a load.
struct load_account {
    /// Bearer key.
    const std::string key;
    /// Share of the requests, relative to the weights of the other accounts.
    const double weight;

    auto operator<=>(const load_account&) const = default;
};

/// Closed range of lengths.
struct length_range {
    const std::uint64_t min;
    const std::uint64_t max;

    auto operator<=>(const length_range&) const = default;
};

/// Rate, length, seed and request mix of a load.
struct load_settings {
    const std::uint64_t seed;
    /// Mean requests per second. Arrivals are open-loop: they don't wait for answers.
    const double rate;
    const core::duration length;
    /// Upper bound on the number of requests.
    const std::uint64_t most_requests;
    const std::string model;
    const std::vector<load_account> accounts;
    /// Number of tokens in a short answer.
    const length_range short_answer;
    /// Number of tokens in a long answer.
    const length_range long_answer;
    /// Fraction of the answers that are long.
    const double long_share;
    /// Fraction of the requests that aren't streamed: the caller waits for the whole answer.
    const double whole_share;
    /// Fraction of the requests that carry a request key.
    const double keyed_share;
    /// Number of distinct prompt prefixes.
    const std::uint32_t prefixes;
    /// Number of words in a prefix.
    const std::uint32_t prefix_words;

    auto operator<=>(const load_settings&) const = default;
};

/// @return the JSON schema of load settings
[[nodiscard]] const nlohmann::json& load_schema();

/// Decodes load settings.
/// @param document settings, already validated against load_schema()
[[nodiscard]] load_settings decode_load_settings(const nlohmann::json& document);

} // namespace cyclamen::load
