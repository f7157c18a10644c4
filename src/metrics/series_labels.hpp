#pragma once

#include <compare>
#include <cstdint>

#include "core/identifier.hpp"

namespace cyclamen::metrics {

/// Labels of a series: whose work it measures. Two label sets never share a counter or histogram.
struct series_labels {
    /// Empty for a series about the instance itself.
    const core::account_name account;
    const core::service_name service;
    /// Priority class of the client account, exported as the label `class`.
    const std::uint32_t priority_class = 0;

    auto operator<=>(const series_labels&) const = default;
};

} // namespace cyclamen::metrics
