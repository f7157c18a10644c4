#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/time.hpp"

namespace cyclamen::load {

/// How the request of a caller ended.
enum class outcome {
    /// Every token is right and none is missing.
    whole,
    /// Refused before any token.
    refused,
    /// It ended with an error after tokens, or without an answer.
    failed,
    /// It ended as a whole answer does, but a token is missing, repeated or foreign.
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
    /// True where the caller had to turn to another instance.
    const bool reconnected;
    /// Attempts at engines that the answer took.
    const std::uint64_t attempts;

    auto operator<=>(const finished_request&) const = default;
};

/// @param sorted values in ascending order
/// @param share which part lies below, from 0 to 1
/// @return the value at that share, zero where there is none
[[nodiscard]] core::duration quantile(const std::vector<core::duration>& sorted,
                                      double probability);

/// What came of a load.
class load_report {
  public:
    void add(finished_request request) { requests_.push_back(std::move(request)); }

    [[nodiscard]] std::uint64_t count(outcome result) const;
    [[nodiscard]] std::uint64_t size() const { return requests_.size(); }

    /// @return tokens of whole answers
    [[nodiscard]] std::uint64_t useful_tokens() const;

    /// @return waits for the first token of streamed answers, ascending
    [[nodiscard]] std::vector<core::duration> first_token_latencies() const;

    /// Gaps in which a loss was bridged: of answers that took several attempts or instances, and
    /// gaps well over the usual one of their stream.
    /// @return the gaps less the usual gap, ascending
    [[nodiscard]] std::vector<core::duration> interruptions() const;

    /// @return the report as JSON
    [[nodiscard]] nlohmann::json to_json() const;

  private:
    std::vector<finished_request> requests_;
};

} // namespace cyclamen::load
