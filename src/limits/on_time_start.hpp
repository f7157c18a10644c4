#pragma once

#include "limits/start_policy.hpp"

namespace cyclamen::limits {

/// Limits of on_time_start.
struct on_time_settings {
    /// Fraction of the goal in which the first event is expected; the rest covers load that no
    /// report shows yet.
    const double goal_fraction = 0.8;
    /// Fraction of the goal for which any request may wait at an engine, so that long prompts are
    /// not refused much more often than short ones.
    const double min_wait_fraction = 0.3;
    /// Fraction of an engine's memory up to which it accepts copies.
    const double copy_memory_fraction = 0.7;
    /// Fraction of their maximum output that running requests are expected to add to their memory.
    const double growth_fraction = 0.6;
    /// Weight of a new sample in the moving averages.
    const double smoothing = 0.1;
    /// Fraction of the goal that is the shortest delay given to a refused caller: a load that the
    /// engines can't carry rarely ends sooner.
    const double min_retry_fraction = 0.5;
    /// Longest delay given to a refused caller.
    const core::duration max_retry_after = std::chrono::seconds{10};

    auto operator<=>(const on_time_settings&) const = default;
};

/// Starts a request only if its first event is expected within its goal. The wait at an engine
/// follows from the prompts that it has to read first, from its free memory, and from the rates
/// observed on requests before. Until both rates are known every request starts.
class on_time_start final : public start_policy {
  public:
    explicit on_time_start(on_time_settings settings = {}) : settings_{settings} {}

    [[nodiscard]] start_decision decide(const start_request& request,
                                        const engine_load& load) const override;
    [[nodiscard]] bool has_room_for_copy(const start_request& request,
                                         const engine_load& load) const override;
    void on_first_event(const start_observation& seen) override;
    void on_finished(core::duration run_time) override;

  private:
    const on_time_settings settings_;
    /// Moving averages; zero before the first sample.
    double seconds_per_prompt_token_ = 0.0;
    double mean_prompt_tokens_ = 0.0;
    double run_seconds_ = 0.0;

    /// @return expected time in which the engine reads a prompt token
    [[nodiscard]] double seconds_per_token(const engine_load& load) const
    {
        return seconds_per_prompt_token_ * load.pace;
    }
    /// @return expected time until the engine has read the prompts before the request's, in seconds
    [[nodiscard]] double reading_wait(const start_request& request, const engine_load& load) const;
    /// @return expected time until the engine has a slot and memory for the whole run, in seconds
    [[nodiscard]] double room_wait(const start_request& request, const engine_load& load) const;
    [[nodiscard]] core::duration retry_after(const start_request& request, double excess) const;
};

} // namespace cyclamen::limits
