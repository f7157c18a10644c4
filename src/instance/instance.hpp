#pragma once

#include <memory>

#include <absl/status/statusor.h>

#include "chart/library.hpp"
#include "http/back_task.hpp"
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

/// One entry instance: its tasks and how they are connected. Created and used by one owner thread.
class instance {
  public:
    /// Makes an instance and starts its tasks.
    /// @param settings settings of the instance
    /// @param charts chart files to run
    /// @return the running instance, or the first error
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<instance>>
    start(const settings::instance_settings& settings, const chart::library& charts);

    ~instance();
    instance(const instance&) = delete;
    instance& operator=(const instance&) = delete;

    /// Begins a graceful shutdown: no new work is taken, what is under way goes on.
    void request_stop();

    /// Waits until the instance has left: after request_stop(), or since a later process has its
    /// name.
    /// @param timeout longest wait
    /// @return how it left, empty where it has not
    [[nodiscard]] std::optional<api::instance_left> wait_left(core::duration timeout);

    /// Stops all tasks; what is under way is cut.
    void stop();

    /// @return processor time that the tasks have used; called after stop()
    [[nodiscard]] core::duration processor_time() const;

  private:
    explicit instance(const settings::instance_settings& settings);

    const settings::instance_settings settings_;
    const core::incarnation incarnation_;
    /// All tasks share its thread: an event goes from engine to caller in one round of its loop.
    task::task_host host_;
    decision_task decisions_;
    http::front_task front_;
    http::back_task back_;
    http::status_task status_;
    std::unique_ptr<peer::peer_task> peers_;
    std::shared_ptr<task::channel<api::instance_left>> left_ =
        std::make_shared<task::channel<api::instance_left>>();
    table::table_task table_;
    http::service_task services_;
    senders out_;

    [[nodiscard]] task::outbox_ptr<api::peer_command> peers_inbox() const;
    void add_components(const instance_charts& charts);
    /// @return how targets are chosen; what it needs is added to the decision task
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
