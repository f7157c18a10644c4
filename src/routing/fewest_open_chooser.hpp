#pragma once

#include <map>

#include "routing/target_chooser.hpp"

namespace cyclamen::routing {

/// Chooses the target with the fewest open attempts of this instance. A target that lost an attempt
/// is used only as a last resort during a cooldown.
class fewest_open_chooser final : public target_chooser {
  public:
    void configure(model::configuration_ptr configuration) override;
    [[nodiscard]] absl::StatusOr<model::target> choose(const placement_request& request,
                                                       core::instant now) override;
    void on_opened(const core::target_name& target, core::instant now) override;
    void on_finished(const core::target_name& target, core::instant now) override;
    void on_lost(const core::target_name& target, core::instant now) override;

  private:
    /// Time after a lost attempt during which other targets are preferred.
    static constexpr core::duration loss_cooldown = std::chrono::seconds{2};

    model::configuration_ptr configuration_;
    std::map<core::target_name, std::uint64_t> open_attempts_;
    std::map<core::target_name, core::instant> cooldown_until_;

    void close(const core::target_name& target);
    [[nodiscard]] bool is_in_cooldown(const core::target_name& target, core::instant now) const;
};

} // namespace cyclamen::routing
