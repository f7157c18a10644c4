#include "standin/token_chain.hpp"

#include "core/hash.hpp"
#include "core/text.hpp"

namespace cyclamen::standin {

namespace {

constexpr std::uint64_t word_mask = 0xfffff;

} // namespace

token_chain::token_chain(std::string_view prompt, std::string_view version) : version_{version}
{
    for (const std::string_view word : core::split(prompt, ' ')) {
        append_word(word);
        ++prompt_words_;
    }
}

std::string token_chain::next(std::uint32_t variant)
{
    const std::string word = word_for(variant % variant_count);
    append_word(word);
    return core::concat(" ", word);
}

bool token_chain::accept(std::string_view token)
{
    if (token.empty() || token.front() != ' ') {
        return false;
    }
    const std::string_view word = token.substr(1);
    for (std::uint32_t variant = 0; variant < variant_count; ++variant) {
        if (word == word_for(variant)) {
            append_word(word);
            return true;
        }
    }
    return false;
}

void token_chain::append_word(std::string_view word)
{
    state_ = core::hash_of(word, state_);
}

std::string token_chain::word_for(std::uint32_t variant) const
{
    const std::uint64_t hash = core::hash_of(version_, state_ + variant);
    return fmt::format("{:x}{:05x}", variant, hash & word_mask);
}

std::vector<std::string> split_tokens(std::string_view text)
{
    std::vector<std::string> tokens;
    std::size_t begin = 0;
    while (begin < text.size()) {
        const std::size_t end = std::min(text.find(' ', begin + 1), text.size());
        tokens.emplace_back(text.substr(begin, end - begin));
        begin = end;
    }
    return tokens;
}

answer_check check_answer(std::string_view prompt, std::string_view version,
                          std::string_view answer)
{
    token_chain chain{prompt, version};
    const std::vector<std::string> tokens = split_tokens(answer);
    std::uint64_t correct = 0;
    while (correct < tokens.size() && chain.accept(tokens[correct])) {
        ++correct;
    }
    return answer_check{correct, tokens.size()};
}

} // namespace cyclamen::standin
