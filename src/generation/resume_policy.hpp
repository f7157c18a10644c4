#pragma once

#include <cstdint>

namespace cyclamen::generation {

/// Determines how much of an answer is kept when an attempt is lost. Called by the generation
/// manager on the decision task.
class resume_policy {
  public:
    virtual ~resume_policy() = default;

    /// @param held how many tokens the journal holds
    /// @return how many of them the next attempt continues from
    [[nodiscard]] virtual std::uint64_t kept_tokens(std::uint64_t held) const = 0;
};

/// The next attempt continues after the tokens that were produced.
class resume_from_journal final : public resume_policy {
  public:
    [[nodiscard]] std::uint64_t kept_tokens(std::uint64_t held) const override { return held; }
};

/// The naive policy, a baseline for comparison: the next attempt generates the answer again from
/// its start.
class restart_from_beginning final : public resume_policy {
  public:
    [[nodiscard]] std::uint64_t kept_tokens(std::uint64_t /*held*/) const override { return 0; }
};

} // namespace cyclamen::generation
