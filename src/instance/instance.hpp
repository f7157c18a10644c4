#pragma once

#include <memory>

#include <absl/status/statusor.h>

#include "chart/library.hpp"
#include "http/engine_client_task.hpp"
#include "http/front_task.hpp"
#include "http/service_task.hpp"
#include "http/status_task.hpp"
#include "instance/call_component.hpp"
#include "instance/config_component.hpp"
#include "instance/decision_task.hpp"
#include "instance/instance_charts.hpp"
#include "instance/membership_component.hpp"
#include "instance/table_component.hpp"
#include "limits/fleet_observer.hpp"
#include "peer/peer_task.hpp"
#include "routing/target_chooser.hpp"
#include "settings/instance_settings.hpp"
#include "table/table_task.hpp"
#include "task/channel.hpp"
#include "task/task_host.hpp"

namespace cyclamen::instance {

/// One entry instance: owns its tasks and connects them. Created and used by a single owner thread.
class instance {
  public:
    /// Creates an instance and starts its tasks.
    /// @param settings settings of the instance
    /// @param charts the chart files
    /// @return the running instance, or the first error
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<instance>>
    start(const settings::instance_settings& settings, const chart::library& charts);

    ~instance();
    instance(const instance&) = delete;
    instance& operator=(const instance&) = delete;

    /// Begins a graceful shutdown: new work is rejected, work in progress continues.
    void request_stop();

    /// Waits until the instance has shut down, either after request_stop() or because a later
    /// process uses the same instance name.
    /// @param timeout maximum time to wait
    /// @return how the instance shut down; empty if it is still running
    [[nodiscard]] std::optional<api::instance_left> wait_left(core::duration timeout);

    /// Stops all tasks at once; work in progress is cut off.
    void stop();

    /// @return processor time used by the tasks; must be called after stop()
    [[nodiscard]] core::duration processor_time() const;

  private:
    explicit instance(const settings::instance_settings& settings);

    const settings::instance_settings settings_;
    const core::incarnation incarnation_;
    /// The thread that all tasks share, so that an event passes from an engine to its caller within
    /// one iteration of the event loop.
    task::task_host host_;
    decision_task decisions_;
    http::front_task front_;
    http::engine_client_task back_;
    http::status_task status_;
    std::unique_ptr<peer::peer_task> peers_;
    std::shared_ptr<task::channel<api::instance_left>> left_ =
        std::make_shared<task::channel<api::instance_left>>();
    table::table_task table_;
    http::service_task services_;
    senders out_;

    [[nodiscard]] task::outbox_ptr<api::peer_command> peers_inbox() const;
    void add_components(const instance_charts& charts);
    /// Adds the components that the target chooser needs to the decision task.
    /// @return the target chooser
    [[nodiscard]] std::unique_ptr<routing::target_chooser>
    add_routing(const instance_charts& charts, limits::fleet_observer& fleet);
    [[nodiscard]] std::unique_ptr<config_component>
    make_config_component(const instance_charts& charts, table_component& table,
                          membership_component& members);
    [[nodiscard]] std::unique_ptr<call_component> make_call_component(const instance_charts& charts,
                                                                      table_component& table);
    [[nodiscard]] absl::Status start_tasks();
};

} // namespace cyclamen::instance
