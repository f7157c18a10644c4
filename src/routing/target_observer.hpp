#pragma once

#include "core/identifier.hpp"
#include "routing/cache_change.hpp"
#include "routing/load_report.hpp"

namespace cyclamen::routing {

/// Receives updates about targets from the targets themselves, from the platform's list and from
/// peers. Called on the decision task. Updates about an unknown target are ignored.
class target_observer {
  public:
    virtual ~target_observer() = default;

    /// A target reported its load.
    virtual void on_load(const core::target_name& target, const load_report& report,
                         core::instant now) = 0;

    /// A target reported changes of its cache.
    virtual void on_cache(const core::target_name& target, const cache_change& change,
                          core::instant now) = 0;

    /// A target, the platform's list or a peer reported that a target is leaving: it gets no new
    /// work.
    virtual void on_leaving(const core::target_name& target, core::instant now) = 0;

    /// A target that was reported as leaving stays in service after all.
    virtual void on_returned(const core::target_name& target, core::instant now) = 0;
};

} // namespace cyclamen::routing
