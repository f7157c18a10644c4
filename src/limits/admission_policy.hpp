#pragma once

#include <compare>
#include <optional>
#include <vector>

#include "core/failure.hpp"
#include "core/identifier.hpp"
#include "core/time.hpp"
#include "model/configuration.hpp"

namespace cyclamen::limits {

/// A request that asks for admission.
struct admission_request {
    const core::generation_id id;
    const core::account_name account;
    const core::service_name service;
    /// Maximum number of tokens to produce.
    const std::uint64_t tokens;
    /// Time at which the caller stops waiting.
    const core::instant deadline;

    auto operator<=>(const admission_request&) const = default;
};

/// A waiting request that can no longer finish before its deadline. It has not run.
struct late_refusal {
    const core::generation_id id;
    const core::failure reason;

    auto operator<=>(const late_refusal&) const = default;
};

/// Decisions about waiting requests.
struct admission_result {
    /// Requests that may start now, in this order.
    const std::vector<core::generation_id> started;
    /// Requests that are refused after waiting.
    const std::vector<late_refusal> refused;

    auto operator<=>(const admission_result&) const = default;
};

/// Decides which new requests start, wait or are refused. Resumed work needs no new admission: it
/// keeps its slot. Called by the generation manager on the decision task.
class admission_policy {
  public:
    virtual ~admission_policy() = default;

    /// Applies a new configuration.
    virtual void configure(model::configuration_ptr configuration) = 0;

    /// Submits a new request. Unless it is refused, it waits until release() returns it.
    /// @param request the request; its account and service are declared
    /// @param now current instant
    /// @return the reason if it is refused, in which case it never runs; empty if it waits
    [[nodiscard]] virtual std::optional<core::failure> offer(const admission_request& request,
                                                             core::instant now) = 0;

    /// @param now current instant
    /// @return the waiting requests that may start now, and those that are refused after all
    [[nodiscard]] virtual admission_result release(core::instant now) = 0;

    /// Records that a request ended, whether it was waiting or had started. Unknown requests are
    /// ignored.
    /// @param id the request
    /// @param complete true if all its tokens were produced
    /// @param now current instant
    virtual void on_ended(core::generation_id id, bool complete, core::instant now) = 0;

    /// @return when release() should be called next, empty if no request waits
    [[nodiscard]] virtual std::optional<core::instant> next_deadline() const = 0;
};

} // namespace cyclamen::limits
