#pragma once

#include <compare>
#include <string>

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include "call/call_settings.hpp"
#include "config/operator_account.hpp"
#include "core/identifier.hpp"
#include "core/log.hpp"
#include "core/socket_address.hpp"
#include "generation/generation_settings.hpp"
#include "model/configuration.hpp"
#include "settings/peer_settings_file.hpp"
#include "table/table_client.hpp"
#include "table/table_task.hpp"

namespace cyclamen::settings {

/// What one instance needs to know before it hears from anyone.
struct instance_settings {
    const core::instance_name name;
    const core::failure_domain_name failure_domain;
    /// Where callers and operators reach it.
    const core::socket_address listen;
    const core::log_level log_level;
    const std::size_t max_body_bytes;
    /// True for the baseline that measurements compare with: simple choices throughout.
    const bool is_naive;
    const generation::generation_settings generation;
    /// Declarations to start with.
    const model::configuration_ptr declarations;
    const table::table_service_settings platform;
    const table::table_client_settings table_client;
    const peers_section peers;
    /// Longest time that work under way may take after the order to stop.
    const core::duration drain_limit;
    /// Who may look at configurations and apply them.
    const std::vector<config::operator_account> operators;
    const call::call_settings call;

    bool operator==(const instance_settings&) const = default;
};

/// @return the JSON schema of the settings of an instance
[[nodiscard]] const nlohmann::json& instance_schema();

/// Decodes settings.
/// @param document the JSON form
/// @param source file name, for error messages
/// @return the settings, or invalid_argument that lists every fault with its JSON pointer
[[nodiscard]] absl::StatusOr<instance_settings>
decode_instance_settings(const nlohmann::json& document, std::string_view source);

/// Reads a JSON file.
/// @param path path of the file
/// @return the document; not_found or invalid_argument
[[nodiscard]] absl::StatusOr<nlohmann::json> read_json_file(const std::string& path);

} // namespace cyclamen::settings
