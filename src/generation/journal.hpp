#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace cyclamen::generation {

/// The tokens of one answer, in order and without gaps. Owned by one generation.
class journal {
  public:
    /// Appends those tokens of a run that are not held yet.
    /// @param first position of the first token of the run
    /// @param tokens the run; positions that are already held are skipped
    /// @return false if the run starts past the end; nothing is appended then
    bool append(std::uint64_t first, std::span<const std::string> tokens);

    /// Removes all tokens after the first `count` ones.
    /// @param count how many tokens to keep
    void truncate(std::uint64_t count);

    /// @return how many tokens are held
    [[nodiscard]] std::uint64_t size() const { return tokens_.size(); }

    /// @param first position of the first token to return
    /// @return the tokens from there on; empty if it is past the end
    [[nodiscard]] std::vector<std::string> from(std::uint64_t first) const;

    /// @param first position of the first token to return
    /// @param end position after the last token to return, at most size()
    /// @return the tokens of the range
    [[nodiscard]] std::vector<std::string> range(std::uint64_t first, std::uint64_t end) const;

    /// @return the concatenated text of all tokens
    [[nodiscard]] std::string text() const;

  private:
    std::vector<std::string> tokens_;
};

} // namespace cyclamen::generation
