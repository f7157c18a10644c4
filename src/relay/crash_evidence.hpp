#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/identifier.hpp"
#include "core/time.hpp"

namespace cyclamen::relay {

/// Traits of a request that may make engines crash: the parts of its prompt that other requests
/// share, and its fingerprint.
using request_traits = std::set<std::string>;

/// A target was lost right after it had begun to answer a request.
struct crash_record {
    /// Unique name of the record.
    const std::string name;
    const core::service_name service;
    const request_traits traits;

    auto operator<=>(const crash_record&) const = default;
};

/// Thresholds of crash_evidence.
struct crash_evidence_settings {
    /// Crashes after which requests with a common trait are quarantined.
    const std::size_t quarantine_threshold = 3;
    /// Crashes after which a record is worth telling other instances.
    const std::size_t report_threshold = 2;
    /// How long a record counts.
    const core::duration window = std::chrono::minutes{5};
    /// Maximum number of records; the oldest are dropped first.
    const std::size_t max_records = 256;
    /// Maximum number of traits whose answered requests are counted.
    const std::size_t max_counted_traits = 4096;

    auto operator<=>(const crash_evidence_settings&) const = default;
};

/// Finds the traits of requests that crash the targets that run them, from the crashes that all
/// instances have seen. A request is quarantined if it has every trait that the crashed requests
/// with one of its traits have in common, other than traits with which requests were answered: a
/// request that shares only some of them still runs, and its answer clears those.
///
/// Opens no socket and reads no clock. Used by the decision task.
class crash_evidence {
  public:
    explicit crash_evidence(crash_evidence_settings settings = {}) : settings_{settings} {}

    /// Adds a crash that this instance has seen.
    /// @return the records that other instances should be told of now
    [[nodiscard]] std::vector<crash_record> add_own(const crash_record& crash, core::instant now);

    /// Adds a crash that another instance has seen. Known records are ignored.
    void add(const crash_record& crash, core::instant now);

    void remove(const std::string& name);

    /// @return the records that all instances were told of
    [[nodiscard]] std::vector<crash_record> reported() const;

    /// Counts a request that a target answered without a crash.
    void add_answered(const core::service_name& service, const request_traits& traits);

    /// @return how long requests with these traits remain quarantined, empty if they may run
    [[nodiscard]] std::optional<core::duration> quarantine_of(const core::service_name& service,
                                                              const request_traits& traits,
                                                              core::instant now) const;

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
    };
    using trait_key = std::pair<core::service_name, std::string>;

    const crash_evidence_settings settings_;
    std::map<std::string, known_crash> records_;
    /// Number of answered requests by trait, and the order in which the traits were first counted.
    std::map<trait_key, std::size_t> answered_;
    std::vector<trait_key> counted_traits_;
    std::size_t oldest_trait_ = 0;

    void drop_oldest_record();
    /// @return records of the service that have the trait
    [[nodiscard]] std::vector<const known_crash*> crashes_with(const core::service_name& service,
                                                               const std::string& trait) const;
    /// @return true if requests with the trait are answered at least as often as they crash
    [[nodiscard]] bool is_cleared(const core::service_name& service, const std::string& trait,
                                  std::size_t crashes) const;
    [[nodiscard]] request_traits
    common_traits(const std::vector<const known_crash*>& crashes) const;
};

} // namespace cyclamen::relay
