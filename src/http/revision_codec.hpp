#pragma once

#include "config/revision_codec.hpp"

namespace cyclamen::http {

/// Encodes the rows of configuration revisions as JSON documents.
class json_revision_codec final : public config::revision_codec {
  public:
    [[nodiscard]] std::string encode(const api::configuration_copy& copy) const override;
    [[nodiscard]] absl::StatusOr<api::configuration_copy>
    decode(const std::string& value) const override;
    [[nodiscard]] absl::StatusOr<model::configuration_ptr>
    read_declarations(const api::configuration_copy& copy) const override;
};

} // namespace cyclamen::http
