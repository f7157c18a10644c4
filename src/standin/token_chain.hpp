#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamen::standin {

/// Token generator of the stand-in engine. Each token is a function of all text before it, the
/// version and the variant of the attempt, so that a reader can verify an answer token by token.
class token_chain {
  public:
    /// @param prompt text before the answer
    /// @param version version of the model
    token_chain(std::string_view prompt, std::string_view version);

    /// Generates the next token.
    /// @param variant variant of the attempt, taken modulo variant_count
    /// @return the token, one word with a space before it
    std::string next(std::uint32_t variant);

    /// Verifies the next token of an answer and adds it to the text.
    /// @param token the token
    /// @return true if some variant generates this token here; otherwise the text is unchanged
    bool accept(std::string_view token);

    /// @return number of words in the prompt
    [[nodiscard]] std::uint64_t prompt_words() const { return prompt_words_; }

    /// Number of variants. The first hexadecimal digit of a token is its variant.
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

/// Result of a check of an answer.
struct answer_check {
    /// Number of correct tokens before the first wrong one.
    const std::uint64_t correct_tokens;
    /// Number of tokens in the answer.
    const std::uint64_t total_tokens;

    auto operator<=>(const answer_check&) const = default;

    /// @return true if every token is correct and the answer has the expected number of tokens
    [[nodiscard]] bool is_complete(std::uint64_t expected_tokens) const
    {
        return correct_tokens == total_tokens && total_tokens == expected_tokens;
    }
};

/// Checks an answer token by token.
/// @param prompt the prompt
/// @param version expected version of the model
/// @param answer the text of the answer
/// @return number of correct tokens and of all tokens
[[nodiscard]] answer_check check_answer(std::string_view prompt, std::string_view version,
                                        std::string_view answer);

} // namespace cyclamen::standin
