#include "standin/engine_model.hpp"

#include <algorithm>

namespace cyclamen::standin {

void engine_model::open(stream_id stream, std::string_view prompt, std::uint64_t max_tokens,
                        core::instant now)
{
    token_chain chain{prompt, settings_.version};
    const core::duration prefill = settings_.prefill_per_word * chain.prompt_words();
    words_prefilled_ += chain.prompt_words();
    const std::uint32_t variant = settings_.variant_seed + opened_streams_++;
    streams_.insert_or_assign(
        stream, stream_state{std::move(chain), variant, max_tokens, now + prefill + token_gap()});
}

void engine_model::cancel(stream_id stream)
{
    streams_.erase(stream);
}

void engine_model::clear()
{
    streams_.clear();
}

std::vector<produced_token> engine_model::advance(core::instant now)
{
    std::vector<produced_token> produced;
    const core::duration gap = token_gap();
    for (auto entry = streams_.begin(); entry != streams_.end();) {
        stream_state& state = entry->second;
        while (state.tokens_left > 0 && state.next_token_at <= now) {
            --state.tokens_left;
            ++tokens_decoded_;
            state.next_token_at += gap;
            produced.push_back(produced_token{entry->first, state.chain.next(state.variant),
                                              state.tokens_left == 0});
        }
        entry = state.tokens_left == 0 ? streams_.erase(entry) : std::next(entry);
    }
    return produced;
}

std::optional<core::instant> engine_model::next_token_at() const
{
    std::optional<core::instant> next;
    for (const auto& [stream, state] : streams_) {
        next = std::min(next.value_or(state.next_token_at), state.next_token_at);
    }
    return next;
}

std::vector<stream_id> engine_model::open_streams() const
{
    std::vector<stream_id> open;
    open.reserve(streams_.size());
    for (const auto& [stream, state] : streams_) {
        open.push_back(stream);
    }
    return open;
}

core::duration engine_model::token_gap() const
{
    const core::duration normal = settings_.token_gap + settings_.gap_per_stream * streams_.size();
    return std::chrono::duration_cast<core::duration>(normal * slowdown_);
}

} // namespace cyclamen::standin
