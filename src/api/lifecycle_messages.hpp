#pragma once

#include <compare>
#include <variant>

/// @file
/// What the owner of an instance and its decision task tell each other about its end.

namespace cyclamen::api {

/// Take no new work, and end once the work under way is done.
struct stop_request {
    auto operator<=>(const stop_request&) const = default;
};

/// What the owner of an instance tells the decision task.
using lifecycle_command = std::variant<stop_request>;

/// The instance has left: its process may end.
struct instance_left {
    /// True where work was still under way when the limit had passed.
    const bool work_cut;

    auto operator<=>(const instance_left&) const = default;
};

} // namespace cyclamen::api
