#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/identifier.hpp"
#include "core/time.hpp"
#include "relay/answered_traits.hpp"
#include "relay/deadly_traits.hpp"

namespace cyclamen::relay {

/// Beginning of the trait that is a request's fingerprint.
inline constexpr std::string_view fingerprint_prefix = "request:";

/// Why a quarantined request is refused.
inline constexpr std::string_view quarantine_problem =
    "requests with this content or these prompt parts crash the targets that run them";

/// A request was in progress on a target that ended, and may be the cause.
struct crash_record {
    /// Unique name of the record.
    const std::string name;
    const core::service_name service;
    const request_traits traits;
    /// The incarnation of the target that ended; records of the same one tell of one crash. If
    /// empty, the record is the only one of its crash.
    const std::string incarnation = {};
    /// Traits among them with which targets have answered requests; they are not the cause.
    const request_traits answered = {};

    auto operator<=>(const crash_record&) const = default;
};

/// Thresholds of crash_evidence.
struct crash_evidence_settings {
    /// Crashes after which requests with a common trait are quarantined.
    const std::size_t quarantine_threshold = 3;
    /// Answers that clear a trait, unless this instance has seen more crashes with it.
    const std::size_t clearing_answers = 3;
    /// Time after a crash, or after a trial, at which a quarantined request may run as a trial;
    /// each pause is longer than the one before.
    const core::duration trial_pause = std::chrono::seconds{10};
    const int trial_backoff = 4;
    /// How long a record counts.
    const core::duration window = std::chrono::minutes{5};
    /// Maximum number of records; the oldest without traits in common are dropped first.
    const std::size_t max_records = 512;
    /// Maximum number of prompt parts, and of fingerprints, in a generation of answered_traits.
    const std::size_t counted_parts = 4096;
    const std::size_t counted_fingerprints = 1024;

    auto operator<=>(const crash_evidence_settings&) const = default;
};

/// Finds the traits of requests that crash the targets that run them, from the crashes that all
/// instances have seen. A request is quarantined if it has every trait that the crashed requests
/// with one of its traits have in common, other than traits with which requests were answered: a
/// request that shares only some of them still runs, and its answer clears those.
///
/// An instance that has just started has seen no answers. The records say which of their traits
/// others have seen answered, so that it doesn't quarantine what they have cleared.
///
/// Opens no socket and reads no clock. Used by the decision task.
class crash_evidence {
  public:
    explicit crash_evidence(crash_evidence_settings settings = {})
        : settings_{settings}, answered_parts_{settings.counted_parts},
          answered_fingerprints_{settings.counted_fingerprints}
    {
    }

    /// Adds a crash that this instance has seen.
    void add_own(const crash_record& crash, core::instant now);

    /// Adds a crash that another instance has seen, or what was added to a known record.
    void add(const crash_record& crash, core::instant now);

    void remove(const std::string& name);

    /// Counts a request that a target answered without a crash.
    void add_answered(const core::service_name& service, const request_traits& traits);

    /// @return crashes that other instances should be told of now
    [[nodiscard]] std::vector<crash_record> take_reports();

    /// @return known records to be written again, since requests with one of their traits were
    ///         answered here and no record says so; empty if no instance would be misled
    [[nodiscard]] std::vector<crash_record> take_amendments();

    /// @return the records that all instances were told of
    [[nodiscard]] std::vector<crash_record> reported() const;

    /// @return time after which requests with these traits may run again, as a trial or since the
    ///         records no longer count; empty if they may run now
    [[nodiscard]] std::optional<core::duration> quarantine_of(const core::service_name& service,
                                                              const request_traits& traits,
                                                              core::instant now);

    /// Decides whether a quarantined request runs as a trial: if all requests with its traits are
    /// refused, no answer can clear them. One instance of the fleet makes the trials.
    /// @return true if it runs
    [[nodiscard]] bool admit_trial(const core::service_name& service, const request_traits& traits,
                                   core::instant now);

    /// Forgets the records that no longer count.
    /// @return their names
    std::vector<std::string> take_expired(core::instant now);

    [[nodiscard]] std::size_t size() const { return records_.size(); }

  private:
    struct known_crash {
        const crash_record record;
        const core::instant heard_at;
        /// This instance has seen the crash itself.
        bool own;
        bool reported;
        /// Traits that the record says were answered.
        request_traits answered;
        /// Those of them that this instance has marked when it reported the crash.
        request_traits marked_here;
    };
    /// Trials of a deadly set.
    struct trial_schedule {
        core::instant next;
        core::duration pause;
    };
    /// Crashes by trait.
    using trait_crashes = std::map<std::string, std::set<std::string>>;

    const crash_evidence_settings settings_;
    std::map<std::string, known_crash> records_;
    answered_traits answered_parts_;
    answered_traits answered_fingerprints_;
    /// Deadly sets by service, and what was used to find them; valid unless outdated_.
    std::map<core::service_name, std::vector<deadly_set>> deadly_;
    std::map<core::service_name, trait_crashes> own_crashes_;
    std::map<core::service_name, trait_crashes> crashes_;
    /// Traits that a record says were answered.
    std::map<core::service_name, request_traits> marked_;
    bool outdated_ = false;
    std::map<std::pair<core::service_name, request_traits>, trial_schedule> trials_;

    /// Drops the oldest record whose traits occur in no other crash, or else the oldest.
    void drop_record();
    /// Finds the deadly sets anew if anything has changed.
    void update();
    void index_records();
    /// @return the traits of a record that may be the cause of its crash
    [[nodiscard]] request_traits accused_traits(const crash_record& record);
    [[nodiscard]] answered_traits& counter_of(const std::string& trait);
    /// @return number of crashes with the trait
    [[nodiscard]] static std::size_t
    count_of(const std::map<core::service_name, trait_crashes>& crashes,
             const core::service_name& service, const std::string& trait);
    /// @return true if this instance has seen requests with the trait answered often enough
    [[nodiscard]] bool is_cleared(const core::service_name& service, const std::string& trait);
    /// @return the deadly sets that requests with these traits have
    [[nodiscard]] std::vector<deadly_set> sets_of(const core::service_name& service,
                                                  const request_traits& traits);
    [[nodiscard]] crash_record written_record(const known_crash& known) const;
};

/// @return the name of a target's incarnation, for crash_record
[[nodiscard]] std::string incarnation_name(const core::target_name& target,
                                           core::wall_time started_at);

} // namespace cyclamen::relay
