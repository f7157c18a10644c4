#pragma once

#include <cstdint>
#include <vector>

#include "core/identifier.hpp"
#include "core/time.hpp"

namespace cyclamen::routing {

/// Kind of work whose time was observed. Times are compared within one kind.
enum class pace_kind {
    /// Seconds per prompt token, at an engine that had nothing else to read.
    reading,
    /// Seconds per event of a running stream.
    writing,
    /// Seconds per response of a plain target.
    answering,
};

/// Time that a target took.
struct pace_observation {
    const core::service_name service;
    const core::target_name target;
    /// Start time of the target's incarnation.
    const core::wall_time started_at;
    const pace_kind kind;
    /// Requests that ran on the target, as far as they are known.
    const std::uint32_t running;
    const double seconds;

    auto operator<=>(const pace_observation&) const = default;
};

/// What an instance knows of a target's pace, or a change of it, as instances exchange it.
struct pace_report {
    const core::target_name target;
    const core::wall_time started_at;
    /// Time factor, 1 = usual for the service.
    const double factor;
    /// Weight of the observations behind it.
    const double weight;
    /// Time since the last observation.
    const core::duration age;

    auto operator<=>(const pace_report&) const = default;
};

/// Tells how fast targets are, relative to what is usual for their service. Called on the decision
/// task.
class pace_source {
  public:
    virtual ~pace_source() = default;

    /// @param target name of a target
    /// @param started_at start time of its incarnation
    /// @return time factor of the target, 1 = usual
    [[nodiscard]] virtual double pace_of(const core::target_name& target,
                                         core::wall_time started_at, core::instant now) const = 0;

    /// @return number of running requests beyond which the target slows down, 0 if unknown
    [[nodiscard]] virtual std::uint32_t takes_well(const core::target_name& target,
                                                   core::wall_time started_at,
                                                   core::instant now) const = 0;

    /// Learns from an observation of this instance.
    virtual void observe(const pace_observation& seen, core::instant now) = 0;

    /// @return what this instance has observed since the last call, at most `max` targets
    [[nodiscard]] virtual std::vector<pace_report> take_news(std::size_t max,
                                                             core::instant now) = 0;

    /// Learns what other instances have merged; it replaces older knowledge.
    virtual void learn(const std::vector<pace_report>& merged, core::instant now) = 0;

    /// Number of targets that are known to be faster or slower than usual.
    [[nodiscard]] virtual std::size_t known_uneven(core::instant now) const = 0;
};

/// Treats all targets as equally fast.
class even_pace final : public pace_source {
  public:
    [[nodiscard]] double pace_of(const core::target_name& /*target*/,
                                 core::wall_time /*started_at*/,
                                 core::instant /*now*/) const override
    {
        return 1.0;
    }
    [[nodiscard]] std::uint32_t takes_well(const core::target_name& /*target*/,
                                           core::wall_time /*started_at*/,
                                           core::instant /*now*/) const override
    {
        return 0;
    }
    void observe(const pace_observation& /*seen*/, core::instant /*now*/) override {}
    [[nodiscard]] std::vector<pace_report> take_news(std::size_t /*max*/,
                                                     core::instant /*now*/) override
    {
        return {};
    }
    void learn(const std::vector<pace_report>& /*merged*/, core::instant /*now*/) override {}
    [[nodiscard]] std::size_t known_uneven(core::instant /*now*/) const override { return 0; }
};

} // namespace cyclamen::routing
