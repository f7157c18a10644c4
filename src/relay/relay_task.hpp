#pragma once

#include <memory>
#include <optional>

#include "relay/relay_manager.hpp"
#include "task/basic_task.hpp"
#include "task/deadline_timer.hpp"
#include "task/ordered_sender.hpp"

namespace cyclamen::relay {

/// Reports to the owner of the instance that it has left and the process may exit.
struct instance_left {
    const bool work_cut;

    auto operator<=>(const instance_left&) const = default;
};

/// Inboxes that receive the commands of a relay task.
struct relay_outboxes {
    task::outbox_ptr<entry_command> entries;
    task::outbox_ptr<target_command> targets;
    task::outbox_ptr<store_command> store;
    task::outbox_ptr<instance_left> owner;
};

/// The decision task of an instance that relays requests. It owns no socket.
class relay_task final : public task::basic_task<relay_message>, private relay_host {
  public:
    /// @param host thread that the task runs on
    /// @param settings settings of the instance
    /// @param charts the charts
    explicit relay_task(task::task_host& host, relay_settings settings, relay_charts charts);

    /// Sets the receivers of commands. Must be called before the host starts.
    void connect(const relay_outboxes& to);

  private:
    const relay_settings settings_;
    const relay_charts charts_;
    std::unique_ptr<relay_manager> manager_;
    std::optional<task::ordered_sender<entry_command>> entries_;
    std::optional<task::ordered_sender<target_command>> targets_;
    std::optional<task::ordered_sender<store_command>> store_;
    std::optional<task::ordered_sender<instance_left>> owner_;
    task::deadline_timer timer_;

    absl::Status on_start() override;
    void on_message(const relay_message& message) override;
    void on_stop() override;

    void send(entry_command command) override;
    void send(target_command command) override;
    void send(store_command command) override;
    void end_process(bool work_cut) override;
};

} // namespace cyclamen::relay
