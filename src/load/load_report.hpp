#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/time.hpp"

namespace cyclamen::load {

/// Outcome of a caller's request.
enum class outcome {
    /// Complete, and every token is correct.
    whole,
    /// Rejected with an error status before the first token.
    refused,
    /// Ended with an error after the first token, or without an answer.
    failed,
    /// Ended normally, but with a missing, repeated or unexpected token.
    wrong,
};

/// One finished request.
struct finished_request {
    const outcome result;
    const std::string account;
    const bool streaming;
    const std::uint64_t tokens;
    const core::duration first_token;
    const core::duration longest_gap;
    const core::duration mean_gap;
    const core::duration total;
    /// True if the caller had to retry at another instance.
    const bool reconnected;
    /// Number of attempts at engines that the answer took.
    const std::uint64_t attempts;

    auto operator<=>(const finished_request&) const = default;
};

/// Computes a quantile by the nearest-rank method.
/// @param sorted values in ascending order
/// @param probability from 0 to 1, such as 0.95 for the 95th percentile
/// @return the value at that rank, zero if there are no values
[[nodiscard]] core::duration quantile(const std::vector<core::duration>& sorted,
                                      double probability);

/// Results of a load.
class load_report {
  public:
    void add(finished_request request) { requests_.push_back(std::move(request)); }

    [[nodiscard]] std::uint64_t count(outcome result) const;
    [[nodiscard]] std::uint64_t size() const { return requests_.size(); }

    /// @return number of tokens in whole answers
    [[nodiscard]] std::uint64_t useful_tokens() const;

    /// @return times to the first token of whole streamed answers, ascending
    [[nodiscard]] std::vector<core::duration> first_token_latencies() const;

    /// Interruptions of streamed answers: the longest gap of each answer that took several attempts
    /// or instances, and of each other answer whose longest gap is well above its mean gap.
    /// @return longest gap minus mean gap of each such answer, ascending
    [[nodiscard]] std::vector<core::duration> interruptions() const;

    /// @return the report as JSON
    [[nodiscard]] nlohmann::json to_json() const;

  private:
    std::vector<finished_request> requests_;
};

} // namespace cyclamen::load
