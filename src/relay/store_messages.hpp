#pragma once

#include <compare>
#include <set>
#include <string>
#include <vector>

#include "core/identifier.hpp"
#include "core/time.hpp"
#include "relay/crash_evidence.hpp"
#include "relay/member_registry.hpp"
#include "relay/rollout_records.hpp"
#include "relay/route_table.hpp"
#include "relay/target.hpp"
#include "routing/pace_source.hpp"

/// @file
/// Messages between the decision task and what reads and writes the platform's store.

namespace cyclamen::relay {

/// A configuration was read from the store.
struct configuration_read {
    const route_table_ptr table;

    bool operator==(const configuration_read&) const = default;
};

/// A source has confirmed that the configuration in force is the newest one.
struct configuration_confirmed {
    /// Instance that was asked, empty for the store itself.
    const core::instance_name source;
    /// When the store last answered that source.
    const core::instant at;

    auto operator<=>(const configuration_confirmed&) const = default;
};

/// The list of targets has changed.
struct targets_listed {
    /// True if the list is complete: targets missing from it are gone.
    const bool complete;
    const std::vector<target_record> present;
    const std::vector<core::target_name> gone;

    bool operator==(const targets_listed&) const = default;
};

/// The list of instances that accept requests has changed.
struct members_listed {
    /// True if the list is complete: instances missing from it are gone.
    const bool complete;
    const std::vector<member_entry> present;
    const std::vector<core::instance_name> gone;

    bool operator==(const members_listed&) const = default;
};

/// The operator's orders of rollouts have changed.
struct rollouts_listed {
    const std::vector<rollout_order> present;
    /// Services whose order was removed.
    const std::vector<core::service_name> gone;

    bool operator==(const rollouts_listed&) const = default;
};

/// Instances have written what they have seen of rollouts, and how these ended.
struct rollout_reports_listed {
    const std::vector<rollout_outcome> outcomes;
    const std::vector<rollout_evidence> evidence;

    bool operator==(const rollout_reports_listed&) const = default;
};

/// Writes how a rollout ended, unless that was written since.
struct write_rollout_outcome {
    const core::service_name service;
    const core::version_name version;
    const bool completed;
    /// Version of the row that is replaced, the default value if there is none.
    const core::store_version replaced;

    auto operator<=>(const write_rollout_outcome&) const = default;
};

/// Writes what this instance has seen of a rollout.
struct write_rollout_evidence {
    const rollout_evidence evidence;

    auto operator<=>(const write_rollout_evidence&) const = default;
};

/// The list of crashes that instances have reported has changed.
struct crashes_listed {
    const std::vector<crash_record> present;
    /// Names of records that were removed.
    const std::vector<std::string> gone;

    bool operator==(const crashes_listed&) const = default;
};

/// The store was restored from a copy. Later changes of the lists follow as usual.
struct members_restored {
    /// Instances that the store lists.
    const std::set<core::instance_name> present;

    auto operator<=>(const members_restored&) const = default;
};

/// The store was restored from a copy.
struct crashes_restored {
    /// Names of the records that the store has.
    const std::set<std::string> present;

    auto operator<=>(const crashes_restored&) const = default;
};

/// Reports a crash to all instances.
struct report_crash {
    const crash_record crash;

    auto operator<=>(const report_crash&) const = default;
};

/// Removes the report of a crash that no longer counts.
struct withdraw_crash {
    const std::string name;

    auto operator<=>(const withdraw_crash&) const = default;
};

/// Adds this instance to the list of those that accept requests, or removes it.
struct announce_member {
    const bool serving;

    auto operator<=>(const announce_member&) const = default;
};

/// Removes the entry of an unresponsive instance, unless the entry has changed since.
struct withdraw_member {
    const core::instance_name name;
    const core::store_version version;

    auto operator<=>(const withdraw_member&) const = default;
};

/// What this instance has observed of the paces of targets since the last such message.
struct paces_observed {
    const std::vector<routing::pace_report> paces;
    const core::instant at;

    auto operator<=>(const paces_observed&) const = default;
};

/// What the instances with a common reader know of the paces of targets.
struct paces_merged {
    const std::vector<routing::pace_report> paces;

    auto operator<=>(const paces_merged&) const = default;
};

} // namespace cyclamen::relay
