#pragma once

#include <compare>
#include <string>
#include <variant>
#include <vector>

#include "core/failure.hpp"
#include "core/identifier.hpp"
#include "core/socket_address.hpp"

/// @file
/// Messages about calls of plain services, exchanged by the decision task of an instance with the
/// front tasks and with the service task.

namespace cyclamen::api {

/// Number of a call, unique within one incarnation of an instance.
using call_id = core::number<struct call_id_tag>;

/// HTTP header field. The name is in lower case.
struct header_field {
    const std::string name;
    const std::string value;

    auto operator<=>(const header_field&) const = default;
};

/// A caller's request to a plain service.
struct call_request {
    const core::caller_id caller;
    /// Bearer key of the client account, as the caller sent it.
    const std::string bearer;
    /// Request key (idempotency key) chosen by the caller; empty if it sent none.
    const core::request_key key;
    /// True if the caller declares that it has sent this request before.
    const bool is_repeat;
    const core::service_name service;
    const std::string method;
    /// Path at the service, including the query.
    const std::string path;
    const std::vector<header_field> headers;
    const std::string body;

    auto operator<=>(const call_request&) const = default;
};

/// Response of a plain service.
struct service_response {
    const int status;
    const std::vector<header_field> headers;
    const std::string body;

    auto operator<=>(const service_response&) const = default;
};

/// Delivers the response of a call to its caller.
struct call_answer {
    const core::caller_id caller;
    const service_response response;

    auto operator<=>(const call_answer&) const = default;
};

/// Reports to the caller that its call has no response.
struct call_failed {
    const core::caller_id caller;
    const core::failure reason;

    auto operator<=>(const call_failed&) const = default;
};

/// Identifies one attempt of a call.
struct call_attempt {
    const call_id call;
    const core::attempt_number number;

    auto operator<=>(const call_attempt&) const = default;
};

/// Command: send a call to a target.
struct open_call {
    const call_attempt attempt;
    const core::socket_address address;
    const std::string method;
    const std::string path;
    const std::vector<header_field> headers;
    const std::string body;

    auto operator<=>(const open_call&) const = default;
};

/// Command: abandon an attempt. The service task reports no further event of it.
struct cancel_call {
    const call_attempt attempt;

    auto operator<=>(const cancel_call&) const = default;
};

/// Commands of the decision task to the service task.
using service_command = std::variant<open_call, cancel_call>;

/// The target has begun to answer, so the request has been sent.
struct call_sent {
    const call_attempt attempt;

    auto operator<=>(const call_sent&) const = default;
};

/// The target has sent its complete response.
struct call_answered {
    const call_attempt attempt;
    const service_response response;

    auto operator<=>(const call_answered&) const = default;
};

/// The attempt has ended without a response.
struct call_lost {
    const call_attempt attempt;
    /// False only if no byte of the request has been sent.
    const bool sent;
    const std::string detail;

    auto operator<=>(const call_lost&) const = default;
};

/// Events of the service task for the decision task.
using service_event = std::variant<call_sent, call_answered, call_lost>;

} // namespace cyclamen::api
