#pragma once

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/failure.hpp"
#include "core/identifier.hpp"
#include "core/socket_address.hpp"
#include "core/time.hpp"
#include "limits/connection_ends.hpp"
#include "limits/urgency.hpp"
#include "relay/member_registry.hpp"
#include "relay/reported_load.hpp"
#include "relay/route_table.hpp"
#include "relay/run_copy.hpp"
#include "relay/run_progress.hpp"
#include "relay/store_messages.hpp"
#include "relay/target.hpp"
#include "relay/target_contact.hpp"

/// @file
/// Messages between the tasks of an instance that relays opaque requests.

namespace cyclamen::relay {

using core::caller_id;

/// Sequence number of a request within one instance incarnation.
using request_number = core::number<struct request_number_tag>;

/// An HTTP header field that is forwarded unchanged.
struct field {
    const std::string name;
    const std::string value;

    auto operator<=>(const field&) const = default;
};

/// The parts of a request that are forwarded without being interpreted.
struct opaque_request {
    /// Request id, which identifies the caller's attempt in the logs of every process.
    const std::string id;
    const std::string method;
    /// Includes the query string.
    const std::string path;
    const std::string host;
    const std::vector<field> fields;
    const std::string body;

    auto operator<=>(const opaque_request&) const = default;
};

using opaque_request_ptr = std::shared_ptr<const opaque_request>;

/// Status and header fields of a target's response.
struct answer_head {
    const int status;
    const std::vector<field> fields;

    auto operator<=>(const answer_head&) const = default;
};

// ---- from the entry task, which owns the callers' connections ----

/// A caller's request.
struct submission {
    const caller_id caller;
    const opaque_request_ptr content;
    /// Time after which the caller gives up.
    const core::duration timeout;
    const std::string key;
    const std::uint64_t prompt_tokens;
    const std::uint64_t max_output_tokens;
    /// Identifies the part of the prompt that is specific to this request or its session; the same
    /// in a retried request. Empty if the caller doesn't describe the parts of its prompt.
    const std::string prompt_key;
    /// Id of the last event that the caller received, if it resumes a stream.
    const std::optional<std::string> last_event;
    /// Parts of the prompt that other requests may share.
    const std::vector<std::string> shared_parts;

    bool operator==(const submission&) const = default;
};

/// A caller has closed its connection.
struct caller_gone {
    const caller_id caller;

    auto operator<=>(const caller_gone&) const = default;
};

/// Whether callers' connections still have requests or answers on their way, after entry_closing.
struct entry_state {
    const bool busy;

    auto operator<=>(const entry_state&) const = default;
};

/// Requests the current counters and histograms.
struct metrics_query {
    const caller_id caller;
    /// Connections that limits have ended since the last query.
    const limits::connection_ends ended;

    auto operator<=>(const metrics_query&) const = default;
};

// ---- to the entry task ----

/// All series in the Prometheus text format.
struct metrics_answer {
    const caller_id caller;
    const std::string text;

    auto operator<=>(const metrics_answer&) const = default;
};

/// Starts a streamed response.
struct answer_begun {
    const caller_id caller;
    const answer_head head;

    auto operator<=>(const answer_begun&) const = default;
};

/// Sends complete events of a stream.
struct answer_events {
    const caller_id caller;
    const std::string bytes;

    auto operator<=>(const answer_events&) const = default;
};

/// Completes a streamed response.
struct answer_finished {
    const caller_id caller;

    auto operator<=>(const answer_finished&) const = default;
};

/// A complete response of a target that is not a stream.
struct complete_answer {
    const caller_id caller;
    const answer_head head;
    const std::string body;

    auto operator<=>(const complete_answer&) const = default;
};

/// An error response produced by this instance: the request was refused or failed.
struct answer_refused {
    const caller_id caller;
    const core::failure reason;

    auto operator<=>(const answer_refused&) const = default;
};

/// Ends a stream before it is complete, in a way that the caller can detect.
struct answer_cut {
    const caller_id caller;

    auto operator<=>(const answer_cut&) const = default;
};

/// Reports whether this instance accepts requests, and which instances are listed.
struct directory_changed {
    const bool serving;
    const std::vector<member> members;

    bool operator==(const directory_changed&) const = default;
};

/// New limits on callers' requests and connections.
struct limits_changed {
    const caller_limits limits;

    auto operator<=>(const limits_changed&) const = default;
};

/// The instance is leaving: each connection is closed after its current response.
struct entry_closing {
    /// True if new connections are no longer accepted.
    const bool refuses_connections;

    auto operator<=>(const entry_closing&) const = default;
};

// ---- to the target task, which owns the connections to targets ----

/// Identifies one attempt of a request; attempts are numbered from 1.
struct attempt_id {
    const request_number request;
    const core::attempt_number number;

    auto operator<=>(const attempt_id&) const = default;
};

/// Sends a request to a target.
struct open_attempt {
    const attempt_id attempt;
    const core::target_name target;
    const core::socket_address address;
    const opaque_request_ptr content;
    const core::duration time_left;
    const core::account_name account;
    /// Id of the event after which a stream is resumed.
    const std::optional<std::string> last_event;
    /// Target to which the request's memory is mirrored while it runs.
    const std::optional<core::socket_address> standby;
    /// Copy of the memory from which the target resumes.
    const std::optional<run_copy> copy;
    /// Order in which the target serves it; empty if requests don't differ.
    const std::optional<limits::urgency_rank> urgency = {};

    bool operator==(const open_attempt&) const = default;
};

/// Ends an attempt by closing its connection.
struct close_attempt {
    const attempt_id attempt;

    auto operator<=>(const close_attempt&) const = default;
};

/// Orders the target that runs an attempt to copy the request's memory to a standby.
struct copy_run {
    const attempt_id attempt;
    const std::string request;
    const core::socket_address source;
    const core::target_name standby;
    const core::socket_address destination;

    auto operator<=>(const copy_run&) const = default;
};

/// Releases a copy that is no longer needed.
struct free_copy {
    const run_copy copy;

    auto operator<=>(const free_copy&) const = default;
};

/// Asks a target for its load; the answer also shows that it is alive.
struct ask_target {
    const request_number request;
    const core::target_name target;
    const core::socket_address address;
    /// Id of a request that the target runs, whose progress is asked for; empty for none.
    const std::string run;

    auto operator<=>(const ask_target&) const = default;
};

/// Asks which target answers at an address that was listed for another target or incarnation.
struct identify_target {
    const target_record former;
    const std::string health_path;

    auto operator<=>(const identify_target&) const = default;
};

/// Checks whether a target that lost an attempt still runs.
struct check_target {
    const target_record target;
    /// Path of its health check, empty for an engine, which reports its incarnation as well.
    const std::string health_path;

    auto operator<=>(const check_target&) const = default;
};

/// Checks whether another instance is alive.
struct ask_instance {
    const core::instance_name name;
    const core::socket_address readiness_address;

    auto operator<=>(const ask_instance&) const = default;
};

// ---- from the target task ----

/// A target has started a stream.
struct stream_begun {
    const attempt_id attempt;
    const answer_head head;

    auto operator<=>(const stream_begun&) const = default;
};

/// Complete events of a stream.
struct stream_events {
    const attempt_id attempt;
    const std::string bytes;
    /// Id of the last event in `bytes`.
    const std::string last_event;
    /// Number of events in `bytes`.
    const std::uint32_t count = 1;

    auto operator<=>(const stream_events&) const = default;
};

/// A stream is complete.
struct stream_finished {
    const attempt_id attempt;

    auto operator<=>(const stream_finished&) const = default;
};

/// A response that is not a stream has arrived completely.
struct attempt_answered {
    const attempt_id attempt;
    const answer_head head;
    const std::string body;

    auto operator<=>(const attempt_answered&) const = default;
};

/// A target has rejected the request and guarantees that it was not run.
struct attempt_rejected {
    const attempt_id attempt;
    const int status;
    /// True if the address now belongs to another target.
    const bool misdirected;

    auto operator<=>(const attempt_rejected&) const = default;
};

/// A target has said in an answer that it wants less work, or none.
struct target_notice {
    const core::target_name target;
    /// Request to which the target answered.
    const std::string request;
    /// True if the target is leaving.
    const bool leaving;
    /// How long the target wants no request from this instance, zero if it didn't say.
    const core::duration hold;

    auto operator<=>(const target_notice&) const = default;
};

/// An attempt ended without a complete response.
struct attempt_lost {
    const attempt_id attempt;
    /// False only if no byte of the request was sent.
    const bool sent;
    const std::string detail;

    auto operator<=>(const attempt_lost&) const = default;
};

/// Result of copy_run.
struct run_copied {
    const attempt_id attempt;
    const core::target_name standby;
    /// Empty if no copy was made.
    const std::optional<run_copy> copy;

    auto operator<=>(const run_copied&) const = default;
};

/// The connection for ask_target was established: the target's machine runs and listens, whether
/// the target answers or not.
struct target_reached {
    const request_number request;
    const core::target_name target;

    auto operator<=>(const target_reached&) const = default;
};

/// Result of ask_target.
struct target_answered {
    const request_number request;
    const core::target_name target;
    /// Empty if the target did not answer.
    const std::optional<reported_load> load;
    /// Progress of the run that was asked for.
    const run_progress progress = {};

    auto operator<=>(const target_answered&) const = default;
};

/// Result of identify_target: the name that a target reported.
struct target_identified {
    const target_record former;
    const core::target_name name;
    const reported_load load;
    /// Models that the target runs.
    const std::vector<std::string> models;

    auto operator<=>(const target_identified&) const = default;
};

/// Result of check_target.
struct target_checked {
    const target_record target;
    const target_contact contact;

    auto operator<=>(const target_checked&) const = default;
};

/// Result of ask_instance.
struct instance_answered {
    const core::instance_name name;
    const bool alive;

    auto operator<=>(const instance_answered&) const = default;
};

/// The operator has requested that the process stop.
struct stop_requested {
    auto operator<=>(const stop_requested&) const = default;
};

/// Messages to the decision task.
using relay_message =
    std::variant<submission, caller_gone, entry_state, metrics_query, stream_begun, stream_events,
                 stream_finished, attempt_answered, attempt_rejected, attempt_lost, run_copied,
                 target_notice, target_reached, target_answered, target_identified, target_checked,
                 instance_answered, configuration_read, configuration_confirmed, targets_listed,
                 members_listed, crashes_listed, rollouts_listed, rollout_reports_listed,
                 members_restored, crashes_restored, paces_merged, stop_requested>;

/// Messages to the entry task.
using entry_command =
    std::variant<answer_begun, answer_events, answer_finished, complete_answer, metrics_answer,
                 answer_refused, answer_cut, directory_changed, limits_changed, entry_closing>;

/// Messages to the target task.
using target_command = std::variant<open_attempt, close_attempt, copy_run, free_copy, ask_target,
                                    identify_target, check_target, ask_instance>;

/// Messages to the store task.
using store_command = std::variant<announce_member, withdraw_member, report_crash, withdraw_crash,
                                   write_rollout_outcome, write_rollout_evidence, paces_observed>;

} // namespace cyclamen::relay
