#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/identifier.hpp"
#include "core/time.hpp"
#include "standin/engine_settings.hpp"
#include "standin/token_chain.hpp"

namespace cyclamen::standin {

/// Numbers the streams of one engine.
using stream_id = core::number<struct stream_id_tag>;

/// A token that a stream has produced.
struct produced_token {
    const stream_id stream;
    const std::string token;
    /// True with the last token of the stream.
    const bool last;

    auto operator<=>(const produced_token&) const = default;
};

/// Continuous batching of a stand-in engine: which tokens are ready when. Opens no socket and reads
/// no clock.
class engine_model {
  public:
    explicit engine_model(engine_settings settings) : settings_{std::move(settings)} {}

    /// Adds a stream to the batch.
    /// @param stream its number
    /// @param prompt the prompt, with the tokens that other attempts produced
    /// @param max_tokens how many tokens it is to produce, at least 1
    /// @param now current instant
    void open(stream_id stream, std::string_view prompt, std::uint64_t max_tokens,
              core::instant now);

    /// Removes a stream; no effect where it has ended.
    void cancel(stream_id stream);

    /// Removes all streams.
    void clear();

    /// @param now current instant
    /// @return the tokens that have become ready, in order for each stream
    [[nodiscard]] std::vector<produced_token> advance(core::instant now);

    /// Makes every gap longer.
    /// @param factor 1 for the usual speed
    void set_slowdown(double factor) { slowdown_ = factor; }

    /// @return when the next token is ready, empty while no stream runs
    [[nodiscard]] std::optional<core::instant> next_token_at() const;

    /// @return the streams that run
    [[nodiscard]] std::vector<stream_id> open_streams() const;

    [[nodiscard]] std::size_t running() const { return streams_.size(); }
    [[nodiscard]] std::uint64_t tokens_decoded() const { return tokens_decoded_; }
    [[nodiscard]] std::uint64_t words_prefilled() const { return words_prefilled_; }

  private:
    struct stream_state {
        token_chain chain;
        std::uint32_t variant;
        std::uint64_t tokens_left;
        core::instant next_token_at;
    };

    const engine_settings settings_;
    std::map<stream_id, stream_state> streams_;
    std::uint32_t opened_streams_ = 0;
    std::uint64_t tokens_decoded_ = 0;
    std::uint64_t words_prefilled_ = 0;
    double slowdown_ = 1.0;

    [[nodiscard]] core::duration token_gap() const;
};

} // namespace cyclamen::standin
