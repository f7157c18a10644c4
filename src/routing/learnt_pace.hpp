#pragma once

#include <array>
#include <map>

#include "routing/pace_source.hpp"
#include "routing/target_pace.hpp"

namespace cyclamen::routing {

/// Usual time of one kind of work at a service: a mean of what was observed in which outliers count
/// little.
class usual_time {
  public:
    /// @return the mean with an observation added
    [[nodiscard]] usual_time observed(double seconds) const;

    /// @return true if enough observations are known to compare others with them
    [[nodiscard]] bool is_known() const;

    /// @return time factor of an observation
    [[nodiscard]] double factor_of(double seconds) const;

    auto operator<=>(const usual_time&) const = default;

  private:
    std::uint32_t observations_ = 0;
    double log_seconds_ = 0.0;
};

/// Learns the paces of targets from the observations of this instance and from what others report.
class learnt_pace final : public pace_source {
  public:
    explicit learnt_pace(pace_settings settings = {}) : settings_{settings} {}

    [[nodiscard]] double pace_of(const core::target_name& target, core::wall_time started_at,
                                 core::instant now) const override;
    [[nodiscard]] std::uint32_t takes_well(const core::target_name& target,
                                           core::wall_time started_at,
                                           core::instant now) const override;
    void observe(const pace_observation& seen, core::instant now) override;
    [[nodiscard]] std::vector<pace_report> take_news(std::size_t max, core::instant now) override;
    void learn(const std::vector<pace_report>& merged, core::instant now) override;
    [[nodiscard]] std::size_t known_uneven(core::instant now) const override;

  private:
    /// Classes of the number of running requests within which times are compared.
    static constexpr std::size_t load_classes = 6;

    struct known_target {
        core::wall_time started_at;
        target_pace pace;
        request_limit limit;
        /// Observations of this instance that are not taken as news yet.
        target_pace unsent;
        /// Whether the log shows the target as slow.
        bool logged_slow = false;
    };

    const pace_settings settings_;
    std::map<core::service_name, std::map<pace_kind, std::array<usual_time, load_classes>>> usual_;
    std::map<core::target_name, known_target> targets_;
    /// Targets with unsent observations are taken in turn, from this one on.
    core::target_name next_news_;
    core::instant purged_at_{};

    [[nodiscard]] const known_target* find(const core::target_name& target,
                                           core::wall_time started_at) const;
    /// @return the target, without what was known of earlier incarnations; null if a later one is
    ///         known
    known_target* current(const core::target_name& target, core::wall_time started_at);
    void log_change(const core::target_name& target, known_target& known, core::instant now) const;
    /// Removes targets of which nothing is known any more.
    void purge(core::instant now);
};

} // namespace cyclamen::routing
