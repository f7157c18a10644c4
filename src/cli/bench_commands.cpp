#include "cli/bench_commands.hpp"

#include <iostream>

#include "cli/command_line.hpp"
#include "cli/fail.hpp"
#include "core/log.hpp"
#include "experiment/experiment_runner.hpp"
#include "load/load_runner.hpp"
#include "settings/instance_settings.hpp"
#include "json/schema.hpp"

namespace cyclamen::cli {

namespace {

void print_progress(std::uint64_t answers)
{
    std::cerr << "\r" << answers << " answers" << std::flush;
}

absl::StatusOr<std::vector<core::socket_address>> parse_instances(const nlohmann::json& document)
{
    std::vector<core::socket_address> addresses;
    for (const auto& text : document.value("instances", nlohmann::json::array())) {
        const auto address = core::parse_socket_address(text.get<std::string>());
        if (!address.ok()) {
            return address.status();
        }
        if (!address->ip.starts_with("127.")) {
            return core::make_error(core::error_kind::invalid_argument,
                                    core::concat(address->ip, " is not a loopback address"),
                                    "send loads to loopback addresses only");
        }
        addresses.push_back(*address);
    }
    if (addresses.empty()) {
        return core::make_error(core::error_kind::invalid_argument, "no instances are listed",
                                "list their addresses under \"instances\"");
    }
    return addresses;
}

} // namespace

int send_load(const std::string& config)
{
    const auto document = settings::read_json_file(config);
    if (!document.ok()) {
        return fail(document.status(), exit_usage);
    }
    const auto errors = json::validate(*document, load::load_schema());
    if (!errors.empty()) {
        return fail(json::to_error(errors, config, "correct the load settings"), exit_usage);
    }
    auto instances = parse_instances(*document);
    if (!instances.ok()) {
        return fail(instances.status(), exit_usage);
    }
    load::load_runner runner{load::decode_load_settings(*document), *std::move(instances),
                             document->value("version", "v1")};
    const auto report = runner.run({}, print_progress);
    if (!report.ok()) {
        return fail(report.status(), exit_failure);
    }
    std::cerr << "\n";
    std::cout << report->to_json().dump(2) << "\n";
    const bool succeeded =
        report->count(load::outcome::failed) + report->count(load::outcome::wrong) == 0;
    return succeeded ? 0 : exit_failure;
}

int run_experiment(const std::string& config)
{
    core::set_log_level(core::log_level::error);
    const auto document = settings::read_json_file(config);
    if (!document.ok()) {
        return fail(document.status(), exit_usage);
    }
    const auto decoded = experiment::decode_experiment(*document, config);
    if (!decoded.ok()) {
        return fail(decoded.status(), exit_usage);
    }
    const auto standard = experiment::run_experiment(*decoded, "standard", print_progress);
    if (!standard.ok()) {
        return fail(standard.status(), exit_failure);
    }
    const auto naive = experiment::run_experiment(*decoded, "naive", print_progress);
    if (!naive.ok()) {
        return fail(naive.status(), exit_failure);
    }
    std::cerr << "\n";
    const auto figures = experiment::compute_measures(*standard);
    for (const std::string& line :
         experiment::to_lines(*decoded, figures, experiment::compute_measures(*naive))) {
        std::cout << line << "\n";
    }
    const auto exceeded = experiment::exceeded_bounds(*decoded, figures);
    for (const std::string& name : exceeded) {
        std::cerr << "bound exceeded: " << name << "\n";
    }
    return exceeded.empty() ? 0 : exit_failure;
}

} // namespace cyclamen::cli
