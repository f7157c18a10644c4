#pragma once

#include <compare>
#include <optional>
#include <vector>

#include "core/failure.hpp"
#include "core/identifier.hpp"
#include "core/time.hpp"
#include "model/configuration.hpp"

namespace cyclamen::limits {

/// Work that asks to be admitted.
struct admission_request {
    const core::generation_id id;
    const core::account_name account;
    const core::service_name service;
    /// How many tokens it may produce.
    const std::uint64_t tokens;
    /// When its caller stops waiting.
    const core::instant deadline;

    auto operator<=>(const admission_request&) const = default;
};

/// Work that waited and can't be done in time any more; it has not run.
struct late_refusal {
    const core::generation_id id;
    const core::failure reason;

    auto operator<=>(const late_refusal&) const = default;
};

/// What became of work that waited.
struct admission_result {
    /// May start now, in this order.
    const std::vector<core::generation_id> started;
    const std::vector<late_refusal> refused;

    auto operator<=>(const admission_result&) const = default;
};

/// Decides which new work starts, waits or is refused. Work that resumes is not asked for: it keeps
/// its place. Called by the generation manager on the decision task.
class admission_policy {
  public:
    virtual ~admission_policy() = default;

    /// Takes over a new configuration.
    virtual void configure(model::configuration_ptr configuration) = 0;

    /// Offers new work. Where it is not refused it waits until release() names it.
    /// @param offered the work; its account and service are declared
    /// @param now current instant
    /// @return why it is refused; it never runs then. Empty where it waits
    [[nodiscard]] virtual std::optional<core::failure> offer(const admission_request& request,
                                                             core::instant now) = 0;

    /// @param now current instant
    /// @return what may start now and what is refused after all
    [[nodiscard]] virtual admission_result release(core::instant now) = 0;

    /// Notes that work has ended, whether it waited or had started. Unknown work is ignored.
    /// @param id the work
    /// @param complete true where all its tokens were produced
    /// @param now current instant
    virtual void on_ended(core::generation_id id, bool complete, core::instant now) = 0;

    /// @return when release() should be called next, empty where nothing waits
    [[nodiscard]] virtual std::optional<core::instant> next_deadline() const = 0;
};

} // namespace cyclamen::limits
