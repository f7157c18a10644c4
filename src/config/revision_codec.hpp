#pragma once

#include <string>

#include <absl/status/statusor.h>

#include "api/peer_messages.hpp"
#include "model/configuration.hpp"

namespace cyclamen::config {

/// Encodes configurations as values of table rows and decodes them, so that the decision code
/// doesn't depend on an encoding. Called on the decision task.
class revision_codec {
  public:
    virtual ~revision_codec() = default;

    /// @return the row value
    [[nodiscard]] virtual std::string encode(const api::configuration_copy& copy) const = 0;

    /// @param value a row value
    /// @return the configuration that it holds, or invalid_argument
    [[nodiscard]] virtual absl::StatusOr<api::configuration_copy>
    decode(const std::string& value) const = 0;

    /// Parses and validates the declarations of a configuration.
    /// @return the model, with the revision of the copy, or invalid_argument that lists every
    /// problem
    [[nodiscard]] virtual absl::StatusOr<model::configuration_ptr>
    read_declarations(const api::configuration_copy& copy) const = 0;
};

} // namespace cyclamen::config
