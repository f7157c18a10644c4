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

/// The settings of an instance: everything that it needs before it can communicate with others.
struct instance_settings {
    const core::instance_name name;
    const core::failure_domain_name failure_domain;
    /// Address for callers and operators.
    const core::socket_address listen;
    const core::log_level log_level;
    /// Larger request bodies are rejected.
    const std::size_t max_body_bytes;
    /// True for the baseline that benchmarks compare with, which uses simple policies throughout.
    const bool is_naive;
    const generation::generation_settings generation;
    /// Initial declarations, in force until others are applied.
    const model::configuration_ptr declarations;
    const table::table_service_settings platform;
    const table::table_client_settings table_client;
    const peers_section peers;
    /// Time limit for running work after the order to stop; work that exceeds it is aborted.
    const core::duration drain_limit;
    /// Operators who may read or apply configurations.
    const std::vector<config::operator_account> operators;
    const call::call_settings call;

    bool operator==(const instance_settings&) const = default;
};

/// @return the JSON schema of the settings of an instance
[[nodiscard]] const nlohmann::json& instance_schema();

/// Decodes the settings of an instance.
/// @param document the settings in JSON
/// @param source file name, for error messages
/// @return the settings, or invalid_argument that lists all errors with their JSON pointers
[[nodiscard]] absl::StatusOr<instance_settings>
decode_instance_settings(const nlohmann::json& document, std::string_view source);

/// Reads a JSON file.
/// @param path path of the file
/// @return the document; not_found if the file can't be read, or invalid_argument if it isn't JSON
[[nodiscard]] absl::StatusOr<nlohmann::json> read_json_file(const std::string& path);

} // namespace cyclamen::settings
