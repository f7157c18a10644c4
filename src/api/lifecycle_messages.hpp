#pragma once

#include <compare>
#include <variant>

/// @file
/// Messages between the owner of an instance and its decision task about the shutdown.

namespace cyclamen::api {

/// Command: accept no new work and shut down once the work in progress is finished.
struct stop_request {
    auto operator<=>(const stop_request&) const = default;
};

/// Commands of the owner of an instance to its decision task.
using lifecycle_command = std::variant<stop_request>;

/// The instance has shut down; its process may exit.
struct instance_left {
    /// True if unfinished work was cut off because the drain limit had passed.
    const bool work_cut;

    auto operator<=>(const instance_left&) const = default;
};

} // namespace cyclamen::api
