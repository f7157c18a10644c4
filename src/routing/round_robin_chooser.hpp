#pragma once

#include <map>

#include "routing/target_chooser.hpp"

namespace cyclamen::routing {

/// Baseline for comparisons: plain round robin over the targets of a version, regardless of load
/// and losses.
class round_robin_chooser final : public target_chooser {
  public:
    void configure(model::configuration_ptr configuration) override;
    [[nodiscard]] absl::StatusOr<model::target> choose(const placement_request& request,
                                                       core::instant now) override;
    void on_opened(const core::target_name& /*target*/, core::instant /*now*/) override {}
    void on_finished(const core::target_name& /*target*/, core::instant /*now*/) override {}
    void on_lost(const core::target_name& /*target*/, core::instant /*now*/) override {}

  private:
    using version_key = std::pair<core::service_name, core::version_name>;

    model::configuration_ptr configuration_;
    std::map<version_key, std::size_t> next_index_;
};

} // namespace cyclamen::routing
