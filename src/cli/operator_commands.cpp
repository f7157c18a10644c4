#include "cli/operator_commands.hpp"

#include <fstream>
#include <iostream>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "cli/command_line.hpp"
#include "cli/fail.hpp"
#include "core/text.hpp"
#include "http/operator_codec.hpp"
#include "http/request_task.hpp"
#include "settings/instance_settings.hpp"
#include "task/signals.hpp"
#include "json/schema.hpp"

namespace cyclamen::cli {

namespace {

using document = nlohmann::json;

/// Longer than an instance takes to determine the outcome of a configuration write.
constexpr core::duration request_timeout = std::chrono::seconds{75};
constexpr core::duration status_timeout = std::chrono::seconds{60};
constexpr core::duration status_poll_interval = std::chrono::milliseconds{200};
constexpr int http_ok = 200;

absl::StatusOr<std::string> read_token(const std::string& file)
{
    std::ifstream input{file};
    std::string token;
    if (!input || !(input >> token)) {
        return core::make_error(
            core::error_kind::not_found,
            core::concat("no token in ", file.empty() ? "(no path given)" : file),
            "pass the path of a file that contains the operator's token with --token-file");
    }
    return token;
}

/// @return the message of a JSON error body, or the body itself if it has none
std::string error_message(const std::string& body)
{
    const document parsed = document::parse(body, nullptr, false);
    const bool has_message = parsed.is_object() && parsed.contains("error") &&
                             parsed["error"].is_object() && parsed["error"].contains("message");
    return has_message ? parsed["error"]["message"].get<std::string>() : body;
}

/// Sends a request to the operator interface of an instance.
/// @param path path and query below http::operator_path
/// @return the decoded body, or the error
absl::StatusOr<document> send_request(const operator_endpoint& endpoint, const std::string& method,
                                      const std::string& path, const std::string& body = {})
{
    const auto address = core::parse_socket_address(endpoint.address);
    if (!address.ok()) {
        return address.status();
    }
    const auto token = read_token(endpoint.token_file);
    if (!token.ok()) {
        return token.status();
    }
    const auto result =
        http::fetch(*address,
                    http::request{method,
                                  core::concat(http::operator_path, path),
                                  {{"authorization", core::concat("Bearer ", *token)}},
                                  body},
                    request_timeout);
    if (!result.ok()) {
        return result.status();
    }
    if (result->status != http_ok) {
        return absl::UnknownError(error_message(result->body));
    }
    return json::parse(result->body, "answer");
}

/// Reads and merges the declarations of files. Lists of the same key are concatenated.
absl::StatusOr<document> read_declarations(const std::vector<std::string>& files)
{
    document merged = document::object();
    for (const std::string& file : files) {
        const auto declarations_of_file = settings::read_json_file(file);
        if (!declarations_of_file.ok()) {
            return declarations_of_file.status();
        }
        if (!declarations_of_file->is_object()) {
            return core::make_error(core::error_kind::invalid_argument,
                                    core::concat(file, " does not contain a JSON object"),
                                    "write an object with lists such as services and targets");
        }
        for (const auto& [key, list] : declarations_of_file->items()) {
            if (!merged.contains(key)) {
                merged[key] = list;
            }
            else if (merged[key].is_array() && list.is_array()) {
                merged[key].insert(merged[key].end(), list.begin(), list.end());
            }
            else {
                return core::make_error(core::error_kind::invalid_argument,
                                        core::concat("/", key, " in ", file, " is not a list"),
                                        "make it a list");
            }
        }
    }
    return merged;
}

int print_accepted(const absl::StatusOr<document>& answer)
{
    if (!answer.ok()) {
        return fail(answer.status(), exit_failure);
    }
    std::cout << "accepted as revision " << (*answer)["revision"] << "\n";
    return 0;
}

std::string format_value(const document& value)
{
    if (value.is_null()) {
        return "-";
    }
    return value.is_string()         ? value.get<std::string>()
           : value.is_number_float() ? fmt::format("{:.1f}", value.get<double>())
                                     : value.dump();
}

void print_status(const document& answer)
{
    std::cout << fmt::format("newest revision {}, {}\n", answer["newest"].dump(),
                             answer["in_force_everywhere"] ? "in force everywhere"
                                                           : "NOT proven in force everywhere");
    std::cout << "instance         domain           state     revision  age s  not heard for s\n";
    for (const document& each : answer["instances"]) {
        std::cout << fmt::format("{:<16} {:<16} {:<9} {:>8}  {:>5}  {:>15}\n",
                                 format_value(each["name"]), format_value(each["failure_domain"]),
                                 format_value(each["state"]), format_value(each["revision"]),
                                 format_value(each["age_s"]),
                                 format_value(each["not_heard_for_s"]));
    }
}

} // namespace

int apply(const std::vector<std::string>& files, const operator_endpoint& endpoint,
          const std::string& expected, bool dry_run)
{
    const auto declarations = read_declarations(files);
    if (!declarations.ok()) {
        return fail(declarations.status(), exit_usage);
    }
    std::string path = core::concat("?dry_run=", dry_run ? "true" : "false");
    if (!expected.empty()) {
        core::append(path, "&expect=", expected);
    }
    const auto answer = send_request(endpoint, "POST", path, declarations->dump());
    if (dry_run && answer.ok()) {
        std::cout << "valid; nothing was applied\n";
        return 0;
    }
    return print_accepted(answer);
}

int get(const operator_endpoint& endpoint)
{
    const auto answer = send_request(endpoint, "GET", "");
    if (!answer.ok()) {
        return fail(answer.status(), exit_failure);
    }
    std::cout << answer->dump(2) << "\n";
    return 0;
}

int diff(const std::vector<std::string>& files, const operator_endpoint& endpoint)
{
    const auto declarations = read_declarations(files);
    if (!declarations.ok()) {
        return fail(declarations.status(), exit_usage);
    }
    const auto answer = send_request(endpoint, "GET", "");
    if (!answer.ok()) {
        return fail(answer.status(), exit_failure);
    }
    const document patch =
        document::diff(answer->value("declarations", document::object()), *declarations);
    for (const document& each : patch) {
        std::cout << each.dump() << "\n";
    }
    return patch.empty() ? 0 : exit_failure;
}

int status(const operator_endpoint& endpoint, bool wait)
{
    const core::system_clock clock;
    const core::instant end = clock.now() + status_timeout;
    while (true) {
        const auto answer = send_request(endpoint, "GET", "/status");
        if (!answer.ok()) {
            return fail(answer.status(), exit_failure);
        }
        const bool in_force_everywhere = (*answer)["in_force_everywhere"];
        if (in_force_everywhere || !wait || clock.now() >= end) {
            print_status(*answer);
            return in_force_everywhere ? 0 : exit_failure;
        }
        if (task::wait_for_stop_signal(status_poll_interval)) {
            return exit_failure;
        }
    }
}

int history(const operator_endpoint& endpoint)
{
    const auto answer = send_request(endpoint, "GET", "/history");
    if (!answer.ok()) {
        return fail(answer.status(), exit_failure);
    }
    for (const document& each : (*answer)["revisions"]) {
        std::cout << fmt::format("{:>8}  after {:>8}  by {}  accepted_ms={}\n",
                                 format_value(each["revision"]), format_value(each["base"]),
                                 format_value(each["author"]), format_value(each["accepted_ms"]));
    }
    return 0;
}

int rollback(const std::string& revision, const operator_endpoint& endpoint)
{
    return print_accepted(
        send_request(endpoint, "POST", core::concat("/rollback?revision=", revision)));
}

} // namespace cyclamen::cli
