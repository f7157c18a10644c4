#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamen::standin {

/// The tokens of the stand-in engine: each is a function of all text before it, the version and the
/// variant of the attempt, so that a reader of an answer can prove it token by token.
class token_chain {
  public:
    /// @param prompt text that the answer follows
    /// @param version version of the model
    token_chain(std::string_view prompt, std::string_view version);

    /// Takes the next token.
    /// @param variant variant of the attempt, below variant_count
    /// @return the token, one word with a space before it
    std::string next(std::uint32_t variant);

    /// Takes a token that stands in an answer.
    /// @param token the token
    /// @return true where some variant gives just this token here
    bool accept(std::string_view token);

    /// @return how many words the prompt has
    [[nodiscard]] std::uint64_t prompt_words() const { return prompt_words_; }

    /// Variants that the first letter of a token tells apart.
    static constexpr std::uint32_t variant_count = 16;

  private:
    std::string version_;
    std::uint64_t state_ = 0;
    std::uint64_t prompt_words_ = 0;

    void append_word(std::string_view word);
    [[nodiscard]] std::string word_for(std::uint32_t variant) const;
};

/// Splits a text into tokens: each is a word with the space before it.
[[nodiscard]] std::vector<std::string> split_tokens(std::string_view text);

/// What a check of an answer found.
struct answer_check {
    /// How many tokens from the start are right.
    const std::uint64_t correct_tokens;
    /// How many tokens the answer has.
    const std::uint64_t total_tokens;

    auto operator<=>(const answer_check&) const = default;

    /// @return true where every token is right and there are as many as were asked for
    [[nodiscard]] bool is_complete(std::uint64_t expected_tokens) const
    {
        return correct_tokens == total_tokens && total_tokens == expected_tokens;
    }
};

/// Checks an answer token by token.
/// @param prompt the prompt
/// @param version the version that should have answered
/// @param answer the text of the answer
/// @return what was found
[[nodiscard]] answer_check check_answer(std::string_view prompt, std::string_view version,
                                        std::string_view answer);

} // namespace cyclamen::standin
