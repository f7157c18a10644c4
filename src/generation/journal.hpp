#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace cyclamen::generation {

/// The tokens of one answer, in order, without gaps. Owned by one generation.
class journal {
  public:
    /// Appends what is new of a run of tokens.
    /// @param first position of the first of them
    /// @param tokens the run; positions that are held already are skipped
    /// @return false, with nothing appended, where the run starts past the end
    bool append(std::uint64_t first, std::span<const std::string> tokens);

    /// Forgets the tokens after the first ones.
    /// @param count how many tokens to keep
    void truncate(std::uint64_t count);

    /// @return how many tokens are held
    [[nodiscard]] std::uint64_t size() const { return tokens_.size(); }

    /// @param first position of the first token wanted
    /// @return the tokens from there on; empty where it is past the end
    [[nodiscard]] std::vector<std::string> from(std::uint64_t first) const;

    /// @param first position of the first token wanted
    /// @param end position after the last token wanted, at most size()
    /// @return the tokens between
    [[nodiscard]] std::vector<std::string> range(std::uint64_t first, std::uint64_t end) const;

    /// @return the text of all tokens
    [[nodiscard]] std::string text() const;

  private:
    std::vector<std::string> tokens_;
};

} // namespace cyclamen::generation
