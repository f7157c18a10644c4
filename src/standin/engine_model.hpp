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

/// Identifies a stream within one engine.
using stream_id = core::number<struct stream_id_tag>;

/// A token produced by a stream.
struct produced_token {
    const stream_id stream;
    const std::string token;
    /// True for the last token of the stream.
    const bool last;

    auto operator<=>(const produced_token&) const = default;
};

/// Model of a stand-in engine with continuous batching: computes which tokens are ready at which
/// time. Opens no socket and reads no clock.
class engine_model {
  public:
    explicit engine_model(engine_settings settings) : settings_{std::move(settings)} {}

    /// Adds a stream to the batch.
    /// @param stream id of the stream
    /// @param prompt the prompt, followed by the tokens that earlier attempts produced
    /// @param max_tokens number of tokens to produce, at least 1
    /// @param now current instant
    void open(stream_id stream, std::string_view prompt, std::uint64_t max_tokens,
              core::instant now);

    /// Removes a stream; has no effect if the stream has ended.
    void cancel(stream_id stream);

    /// Removes all streams.
    void clear();

    /// @param now current instant
    /// @return the tokens that have become ready since the last call, in order within each stream
    [[nodiscard]] std::vector<produced_token> advance(core::instant now);

    /// Lengthens every gap between tokens.
    /// @param factor multiplies the gap; 1 for normal speed
    void set_slowdown(double factor) { slowdown_ = factor; }

    /// @return when the next token is ready, empty if no stream is running
    [[nodiscard]] std::optional<core::instant> next_token_at() const;

    /// @return the running streams
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
