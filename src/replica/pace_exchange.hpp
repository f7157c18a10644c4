#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/time.hpp"
#include "replica/feed_peer.hpp"
#include "replica/pace_codec.hpp"
#include "routing/pace_source.hpp"
#include "routing/target_pace.hpp"

namespace cyclamen::replica {

/// Exchange of observed paces between the instances that have a common reader. An observation is
/// sent to the reader once, which merges it; an answer replaces what the asker knows of a target if
/// it covers a later observation. Targets that are as fast as usual are not handed on. Used by the
/// replica task.
class pace_exchange {
  public:
    explicit pace_exchange(routing::pace_settings settings = {}) : settings_{settings} {}

    /// Adds what this instance has observed.
    /// @param at when it was reported
    /// @param is_reader true if other instances ask this one, so that it sends nothing itself
    void observe(const std::vector<routing::pace_report>& seen, core::instant at, bool is_reader);

    /// Adds the observations of another instance, as its reader.
    void merge(const std::vector<routing::pace_report>& seen, core::instant now);

    /// @return observations for a query; they are not returned again, even if the query is lost
    [[nodiscard]] std::vector<routing::pace_report> take_unsent(core::instant now);

    /// @param reader instance that is asked next
    /// @return position of its last answer, 0 if another one was asked last
    [[nodiscard]] std::uint64_t position_at(const feed_peer& reader);

    /// Applies the answer of the reader that was asked last.
    void apply(const std::vector<routing::pace_report>& merged, std::uint64_t position,
               core::instant now);

    /// @return the oldest changes after a position, at most max_changes
    [[nodiscard]] pace_changes changes_since(std::uint64_t position, core::instant now) const;

    /// @return changes that this instance's own placement doesn't know yet, at intervals of at
    ///         least pass_period
    [[nodiscard]] std::vector<routing::pace_report> take_changes(core::instant now);

    /// Largest number of targets in a query.
    static constexpr std::size_t max_unsent = 32;
    /// Largest number of targets in an answer, about 500 bytes.
    static constexpr std::size_t max_changes = 16;
    static constexpr core::duration pass_period = std::chrono::milliseconds{200};

  private:
    struct known_pace {
        core::wall_time started_at;
        routing::target_pace pace;
        /// Position of the last change, 0 if none was handed on.
        std::uint64_t position = 0;
        double handed_on_factor = 1.0;
        core::instant handed_on_at{};
    };

    const routing::pace_settings settings_;
    std::map<core::target_name, known_pace> known_;
    /// Targets by the position of their last change.
    std::map<std::uint64_t, core::target_name> order_;
    std::map<core::target_name, known_pace> unsent_;
    std::uint64_t last_position_ = 0;
    /// Address of the reader that was asked last.
    std::string asked_;
    std::uint64_t asked_position_ = 0;
    std::uint64_t passed_position_ = 0;
    core::instant passed_at_{};
    core::instant purged_at_{};

    /// @return the target in a map, without what was known of earlier incarnations; null if a later
    ///         one is known
    static known_pace* current(std::map<core::target_name, known_pace>& paces,
                               const routing::pace_report& report);
    void note_change(const core::target_name& target, known_pace& known, core::instant now);
    [[nodiscard]] routing::pace_report report_of(const core::target_name& target,
                                                 const known_pace& known, core::instant now) const;
    /// @return the account of a target's pace that a report gives
    [[nodiscard]] routing::target_pace pace_in(const routing::pace_report& report,
                                               core::instant now) const;
    void purge(core::instant now);
};

} // namespace cyclamen::replica
