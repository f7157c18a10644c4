#pragma once

#include <algorithm>

#include "core/time.hpp"

namespace cyclamen::standin {

/// Model of a weight store with limited bandwidth: loads run one after another, in the order of
/// their requests. Reads no clock.
class weight_store {
  public:
    /// @param load_time duration of one load
    explicit weight_store(core::duration load_time) : load_time_{load_time} {}

    /// Queues a load.
    /// @param now current instant
    /// @return when the load will be complete
    [[nodiscard]] core::instant begin_load(core::instant now)
    {
        free_at_ = std::max(free_at_, now) + load_time_;
        return free_at_;
    }

  private:
    const core::duration load_time_;
    core::instant free_at_{};
};

} // namespace cyclamen::standin
