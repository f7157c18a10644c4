#include "cli/serve_commands.hpp"

#include <iostream>

#include "cli/command_line.hpp"
#include "cli/fail.hpp"
#include "core/log.hpp"
#include "instance/instance.hpp"
#include "settings/engine_settings_file.hpp"
#include "settings/instance_settings.hpp"
#include "settings/stand_in_settings_file.hpp"
#include "standin/engine_task.hpp"
#include "standin/platform_task.hpp"
#include "standin/service_task.hpp"
#include "task/signals.hpp"

namespace cyclamen::cli {

namespace {

constexpr core::duration departure_poll_interval = std::chrono::milliseconds{50};
constexpr core::duration signal_wait_timeout = std::chrono::hours{1};

void wait_for_stop()
{
    while (!task::wait_for_stop_signal(signal_wait_timeout)) {
    }
}

/// Runs an instance until it has drained and left after a stop signal, or until a second stop
/// signal.
/// @return true if all work was finished
bool run_until_departed(instance::instance& running)
{
    bool stopping = false;
    while (true) {
        const auto departure = running.wait_left(core::duration::zero());
        if (departure.has_value()) {
            return !departure->work_cut;
        }
        if (!task::wait_for_stop_signal(departure_poll_interval)) {
            continue;
        }
        if (stopping) {
            core::log_event(core::log_level::warning, "instance_stopped_at_once", {});
            return false;
        }
        stopping = true;
        running.request_stop();
    }
}

absl::StatusOr<settings::instance_settings> read_settings(const std::string& config)
{
    const auto document = settings::read_json_file(config);
    if (!document.ok()) {
        return document.status();
    }
    return settings::decode_instance_settings(*document, config);
}

/// Runs a stand-in until SIGTERM.
/// @tparam Task task of the stand-in
/// @param config path of its settings file
/// @param decode decodes the settings
/// @return exit status
template <class Task, class Decode>
int run_stand_in(const std::string& config, Decode decode)
{
    const auto document = settings::read_json_file(config);
    if (!document.ok()) {
        return fail(document.status(), exit_usage);
    }
    const auto read = decode(*document, config);
    if (!read.ok()) {
        return fail(read.status(), exit_usage);
    }
    Task task{*read};
    const absl::Status started = task.start();
    if (!started.ok()) {
        return fail(started, exit_failure);
    }
    wait_for_stop();
    task.stop();
    return 0;
}

} // namespace

int route(const std::string& config, const std::string& charts)
{
    const auto read = read_settings(config);
    if (!read.ok()) {
        return fail(read.status(), exit_usage);
    }
    const auto library = charts.empty() ? absl::StatusOr<chart::library>{chart::library::embedded()}
                                        : chart::library::read(charts);
    if (!library.ok()) {
        return fail(library.status(), exit_usage);
    }
    core::set_log_level(read->log_level);
    const auto started = instance::instance::start(*read, *library);
    if (!started.ok()) {
        return fail(started.status(), exit_failure);
    }
    const bool clean = run_until_departed(**started);
    (*started)->stop();
    return clean ? 0 : exit_failure;
}

int check_settings(const std::string& config)
{
    const auto read = read_settings(config);
    if (!read.ok()) {
        return fail(read.status(), exit_usage);
    }
    std::cout << config << ": valid\n";
    return 0;
}

int stand_in_engine(const std::string& config)
{
    return run_stand_in<standin::engine_task>(config, settings::decode_engine_settings);
}

int stand_in_platform(const std::string& config)
{
    return run_stand_in<standin::platform_task>(config, settings::decode_platform_stand_in);
}

int stand_in_service(const std::string& config)
{
    return run_stand_in<standin::service_task>(config, settings::decode_service_stand_in);
}

} // namespace cyclamen::cli
