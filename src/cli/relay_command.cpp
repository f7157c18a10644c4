#include "cli/relay_command.hpp"

#include <iostream>

#include "cli/command_line.hpp"
#include "cli/fail.hpp"
#include "core/log.hpp"
#include "platform/platform_instance.hpp"
#include "platform/settings_path.hpp"
#include "settings/instance_settings.hpp"
#include "task/channel.hpp"
#include "task/signals.hpp"
#include "task/standard_output_log.hpp"

namespace cyclamen::cli {

namespace {

/// Receives the message that the instance has left, and wakes the main thread, which waits for
/// signals.
class departure_receiver final : public task::outbox<relay::instance_left> {
  public:
    absl::Status post(relay::instance_left message) override
    {
        const absl::Status posted = departures_.post(message);
        task::wake_signal_waiter();
        return posted;
    }

    std::optional<relay::instance_left> take() { return departures_.take(core::duration::zero()); }

  private:
    task::channel<relay::instance_left> departures_;
};

absl::StatusOr<platform::settings> read_settings(const std::string& path)
{
    const auto document = settings::read_json_file(path);
    if (!document.ok()) {
        return document.status();
    }
    return platform::decode_settings(*document, path);
}

/// Logs whether the settings file differs from the settings in use. Changes are not applied before
/// the next start.
void log_reload(const std::string& path, const platform::settings& used)
{
    const auto read = read_settings(path);
    if (!read.ok()) {
        core::log_event(core::log_level::error, "settings_rejected",
                        {{"file", path}, {"reason", std::string{read.status().message()}}});
        return;
    }
    core::log_event(core::log_level::info, "settings_reloaded",
                    {{"file", path}, {"changed", *read != used}, {"in_force", "at next start"}});
}

} // namespace

int relay(const std::string& config, const std::string& charts)
{
    const std::string path = config.empty() ? platform::settings_path() : config;
    const auto read = read_settings(path);
    if (!read.ok()) {
        return fail(read.status(), exit_usage);
    }
    const auto library = charts.empty() ? absl::StatusOr<chart::library>{chart::library::embedded()}
                                        : chart::library::read(charts);
    if (!library.ok()) {
        return fail(library.status(), exit_usage);
    }
    task::log_to_standard_output();
    core::set_log_level(read->log_level);
    const auto departures = std::make_shared<departure_receiver>();
    const auto started = platform::platform_instance::start(*read, *library, departures);
    if (!started.ok()) {
        return fail(started.status(), exit_failure);
    }
    while (true) {
        switch (task::wait_for_signal()) {
        case task::process_signal::stop:
            (*started)->request_stop();
            break;
        case task::process_signal::reload:
            log_reload(path, *read);
            break;
        case task::process_signal::wake:
            if (const auto message = departures->take(); message.has_value()) {
                (*started)->stop();
                return message->work_cut ? exit_failure : 0;
            }
            break;
        }
    }
}

int check_relay_settings(const std::string& config)
{
    const auto read = read_settings(config);
    if (!read.ok()) {
        return fail(read.status(), exit_usage);
    }
    std::cout << config << ": valid\n";
    return 0;
}

} // namespace cyclamen::cli
