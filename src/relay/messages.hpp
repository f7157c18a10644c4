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
#include "relay/member_registry.hpp"
#include "relay/reported_load.hpp"
#include "relay/route_table.hpp"
#include "relay/run_copy.hpp"
#include "relay/target.hpp"

/// @file
/// Messages between the tasks of an instance that relays opaque requests.

namespace cyclamen::relay {

using core::caller_id;

/// Numbers the requests of one instance incarnation.
using request_number = core::number<struct request_number_tag>;

/// A header field that is handed on unchanged.
struct field {
    const std::string name;
    const std::string value;

    auto operator<=>(const field&) const = default;
};

/// What is handed on of a request without being understood.
struct opaque_request {
    /// Identifies the caller's attempt in the logs of every process.
    const std::string id;
    const std::string method;
    /// With the query.
    const std::string path;
    const std::string host;
    const std::vector<field> fields;
    const std::string body;

    auto operator<=>(const opaque_request&) const = default;
};

using opaque_request_ptr = std::shared_ptr<const opaque_request>;

/// Status and header fields of a target's answer.
struct answer_head {
    const int status;
    const std::vector<field> fields;

    auto operator<=>(const answer_head&) const = default;
};

// ---- from the callers' side ----

/// A caller's request.
struct submission {
    const caller_id caller;
    const opaque_request_ptr content;
    /// How long the caller waits.
    const core::duration timeout;
    const std::string key;
    const std::uint64_t prompt_tokens;
    const std::uint64_t max_output_tokens;
    /// Names what of the prompt belongs to this request or its session alone; equal for a request
    /// that comes again. Empty where the caller names no parts.
    const std::string prompt_key;
    /// Id of the last event that the caller has of this stream, where it resumes one.
    const std::optional<std::string> last_event;

    bool operator==(const submission&) const = default;
};

/// A caller has closed its connection.
struct caller_gone {
    const caller_id caller;

    auto operator<=>(const caller_gone&) const = default;
};

/// Somebody wants the counters and histograms.
struct metrics_query {
    const caller_id caller;

    auto operator<=>(const metrics_query&) const = default;
};

// ---- to the callers' side ----

/// All series in the text form of Prometheus.
struct metrics_answer {
    const caller_id caller;
    const std::string text;

    auto operator<=>(const metrics_answer&) const = default;
};

/// A stream begins.
struct answer_begun {
    const caller_id caller;
    const answer_head head;

    auto operator<=>(const answer_begun&) const = default;
};

/// Whole events of a stream.
struct answer_events {
    const caller_id caller;
    const std::string bytes;

    auto operator<=>(const answer_events&) const = default;
};

/// A stream is complete.
struct answer_finished {
    const caller_id caller;

    auto operator<=>(const answer_finished&) const = default;
};

/// A target's whole answer.
struct complete_answer {
    const caller_id caller;
    const answer_head head;
    const std::string body;

    auto operator<=>(const complete_answer&) const = default;
};

/// An answer of the instance's own: the request was refused or failed.
struct answer_refused {
    const caller_id caller;
    const core::failure reason;

    auto operator<=>(const answer_refused&) const = default;
};

/// A stream ends without being complete; the caller must be able to see that.
struct answer_cut {
    const caller_id caller;

    auto operator<=>(const answer_cut&) const = default;
};

/// Whether the instance takes requests, and which others do.
struct directory_changed {
    const bool serving;
    const std::vector<member> members;

    bool operator==(const directory_changed&) const = default;
};

/// New limits of what callers may send.
struct limits_changed {
    const caller_limits limits;

    auto operator<=>(const limits_changed&) const = default;
};

/// The instance leaves: connections are closed after their answers.
struct entry_closing {
    /// True where no new connection is taken any more.
    const bool refuses_connections;

    auto operator<=>(const entry_closing&) const = default;
};

// ---- to the targets' side ----

/// One attempt of a request, numbered from 1.
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
    /// Where a stream goes on.
    const std::optional<std::string> last_event;
    /// Target that gets a copy of the request's memory while it runs.
    const std::optional<core::socket_address> standby;
    /// Copy of the memory that the target goes on from.
    const std::optional<run_copy> copy;

    bool operator==(const open_attempt&) const = default;
};

/// Ends an attempt by closing its connection.
struct close_attempt {
    const attempt_id attempt;

    auto operator<=>(const close_attempt&) const = default;
};

/// Has the target that runs an attempt copy its memory to a standby.
struct copy_run {
    const attempt_id attempt;
    const std::string request;
    const core::socket_address source;
    const core::target_name standby;
    const core::socket_address destination;

    auto operator<=>(const copy_run&) const = default;
};

/// Has a copy that is not needed any more dropped.
struct free_copy {
    const run_copy copy;

    auto operator<=>(const free_copy&) const = default;
};

/// Asks a target how it fares.
struct ask_target {
    const request_number request;
    const core::target_name target;
    const core::socket_address address;

    auto operator<=>(const ask_target&) const = default;
};

/// Asks which target answers at an address where another life was listed.
struct identify_target {
    const target_record former;
    const std::string health_path;

    auto operator<=>(const identify_target&) const = default;
};

/// Asks another instance whether it lives.
struct ask_instance {
    const core::instance_name name;
    const core::socket_address readiness_address;

    auto operator<=>(const ask_instance&) const = default;
};

// ---- from the targets' side ----

/// A target has begun a stream.
struct stream_begun {
    const attempt_id attempt;
    const answer_head head;

    auto operator<=>(const stream_begun&) const = default;
};

/// Whole events of a stream.
struct stream_events {
    const attempt_id attempt;
    const std::string bytes;
    /// Id of the last of them.
    const std::string last_event;

    auto operator<=>(const stream_events&) const = default;
};

/// A stream has arrived whole.
struct stream_finished {
    const attempt_id attempt;

    auto operator<=>(const stream_finished&) const = default;
};

/// An answer that is no stream has arrived whole.
struct attempt_answered {
    const attempt_id attempt;
    const answer_head head;
    const std::string body;

    auto operator<=>(const attempt_answered&) const = default;
};

/// A target says that it has not run the request and won't.
struct attempt_rejected {
    const attempt_id attempt;
    const int status;
    /// True where another target has the address by now.
    const bool misdirected;

    auto operator<=>(const attempt_rejected&) const = default;
};

/// An attempt ended without a whole answer.
struct attempt_lost {
    const attempt_id attempt;
    /// False only where no byte of the request has left.
    const bool sent;
    const std::string detail;

    auto operator<=>(const attempt_lost&) const = default;
};

/// What came of copy_run.
struct run_copied {
    const attempt_id attempt;
    const core::target_name standby;
    /// Empty where no copy was made.
    const std::optional<run_copy> copy;

    auto operator<=>(const run_copied&) const = default;
};

/// What came of ask_target.
struct target_answered {
    const request_number request;
    const core::target_name target;
    /// Empty where the target could not be asked.
    const std::optional<reported_load> load;

    auto operator<=>(const target_answered&) const = default;
};

/// A target has told its name.
struct target_identified {
    const target_record former;
    const core::target_name name;
    const reported_load load;
    /// Models that it runs.
    const std::vector<std::string> models;

    auto operator<=>(const target_identified&) const = default;
};

/// What came of ask_instance.
struct instance_answered {
    const core::instance_name name;
    const bool alive;

    auto operator<=>(const instance_answered&) const = default;
};

// ---- from and to the platform's store ----

/// A configuration was read.
struct configuration_read {
    const route_table_ptr table;

    bool operator==(const configuration_read&) const = default;
};

/// Targets were listed.
struct targets_listed {
    /// True where targets that are not here are gone.
    const bool complete;
    const std::vector<target_record> present;
    const std::vector<core::target_name> gone;

    bool operator==(const targets_listed&) const = default;
};

/// The list of instances that take requests has changed.
struct members_listed {
    /// True where instances that are not here are gone.
    const bool complete;
    const std::vector<member_entry> present;
    const std::vector<core::instance_name> gone;

    bool operator==(const members_listed&) const = default;
};

/// Has this instance listed as one that takes requests, or taken off the list.
struct announce_member {
    const bool serving;

    auto operator<=>(const announce_member&) const = default;
};

/// Withdraws the entry of an instance that doesn't answer, unless it has changed.
struct withdraw_member {
    const core::instance_name name;
    const std::uint64_t version;

    auto operator<=>(const withdraw_member&) const = default;
};

/// The operator wants the process to end.
struct stop_requested {
    auto operator<=>(const stop_requested&) const = default;
};

/// What the decision task receives.
using relay_message =
    std::variant<submission, caller_gone, metrics_query, stream_begun, stream_events,
                 stream_finished, attempt_answered, attempt_rejected, attempt_lost, run_copied,
                 target_answered, target_identified, instance_answered, configuration_read,
                 targets_listed, members_listed, stop_requested>;

/// What the task of the callers' side receives.
using entry_command =
    std::variant<answer_begun, answer_events, answer_finished, complete_answer, metrics_answer,
                 answer_refused, answer_cut, directory_changed, limits_changed, entry_closing>;

/// What the task of the targets' side receives.
using target_command = std::variant<open_attempt, close_attempt, copy_run, free_copy, ask_target,
                                    identify_target, ask_instance>;

/// What the task of the platform's store receives.
using store_command = std::variant<announce_member, withdraw_member>;

} // namespace cyclamen::relay
