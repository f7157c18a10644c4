#pragma once

#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wpedantic"
#pragma GCC diagnostic ignored "-Wunused-parameter"
#include "peer/generated/peer.pb.h"
#pragma GCC diagnostic pop

#include "api/peer_messages.hpp"

/// @file
/// Conversions between the messages of src/api and their protobuf forms, with one `write` and one
/// `read` per payload. A `write` sets the payload's field of the envelope; a `read` converts the
/// protobuf form of that field.

namespace cyclamen::peer::detail {

/// @return whole milliseconds, rounded down; 0 for a negative duration
[[nodiscard]] std::uint64_t to_wire(core::duration value);

void write(const api::probe& value, wire::envelope& out);
void write(const api::probe_ack& value, wire::envelope& out);
void write(const api::probe_request& value, wire::envelope& out);
void write(const api::member_news& value, wire::envelope& out);
void write(const api::member_exchange& value, wire::envelope& out);
void write(const api::revision_notice& value, wire::envelope& out);
void write(const api::configuration_request& value, wire::envelope& out);
void write(const api::configuration_copy& value, wire::envelope& out);
void write(const api::status_request& value, wire::envelope& out);
void write(const api::status_report& value, wire::envelope& out);
void write(const api::checkpoint_open& value, wire::envelope& out);
void write(const api::checkpoint_append& value, wire::envelope& out);
void write(const api::checkpoint_ack& value, wire::envelope& out);
void write(const api::checkpoint_superseded& value, wire::envelope& out);
void write(const api::checkpoint_unknown& value, wire::envelope& out);
void write(const api::checkpoint_fetch& value, wire::envelope& out);
void write(const api::checkpoint_fetched& value, wire::envelope& out);
void write(const api::quarantine_notice& value, wire::envelope& out);

[[nodiscard]] api::probe read(const wire::probe& in);
[[nodiscard]] api::probe_ack read(const wire::probe_ack& in);
[[nodiscard]] api::probe_request read(const wire::probe_request& in);
[[nodiscard]] api::member_news read(const wire::member_news& in);
[[nodiscard]] api::member_exchange read(const wire::member_exchange& in);
[[nodiscard]] api::revision_notice read(const wire::revision_notice& in);
[[nodiscard]] api::configuration_request read(const wire::configuration_request& in);
[[nodiscard]] api::configuration_copy read(const wire::configuration_copy& in);
[[nodiscard]] api::status_request read(const wire::status_request& in);
[[nodiscard]] api::status_report read(const wire::status_report& in);
[[nodiscard]] api::checkpoint_open read(const wire::checkpoint_open& in);
[[nodiscard]] api::checkpoint_append read(const wire::checkpoint_append& in);
[[nodiscard]] api::checkpoint_ack read(const wire::checkpoint_ack& in);
[[nodiscard]] api::checkpoint_superseded read(const wire::checkpoint_superseded& in);
[[nodiscard]] api::checkpoint_unknown read(const wire::checkpoint_unknown& in);
[[nodiscard]] api::checkpoint_fetch read(const wire::checkpoint_fetch& in);
[[nodiscard]] api::checkpoint_fetched read(const wire::checkpoint_fetched& in);
[[nodiscard]] api::quarantine_notice read(const wire::quarantine_notice& in);

/// Knowledge of the configuration, which several payloads contain.
void write_part(const api::configuration_knowledge& value, wire::configuration_knowledge& out);
[[nodiscard]] api::configuration_knowledge read_part(const wire::configuration_knowledge& in);

} // namespace cyclamen::peer::detail
