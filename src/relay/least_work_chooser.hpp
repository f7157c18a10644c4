#pragma once

#include "relay/relay_settings.hpp"
#include "relay/target_chooser.hpp"

namespace cyclamen::relay {

/// Selects the target with the lowest cost, mostly its load. The distance term makes instances,
/// which don't know each other's work, prefer different targets.
class least_work_chooser final : public target_chooser {
  public:
    explicit least_work_chooser(placement_settings settings) : settings_{settings} {}

    [[nodiscard]] std::size_t choose(const std::vector<candidate>& candidates,
                                     const core::failure_domain_name& local_domain) override;

  private:
    const placement_settings settings_;
};

} // namespace cyclamen::relay
