#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "instance/component.hpp"
#include "instance/senders.hpp"
#include "task/basic_task.hpp"

namespace cyclamen::instance {

/// Runs the decisions of one instance: hands messages and instants to its components. It owns no
/// socket and knows no encoding.
class decision_task final : public task::basic_task<decision_message> {
  public:
    /// @param declarations configuration to start with
    /// @param host thread that the task runs on, null for one of its own
    explicit decision_task(model::configuration_ptr declarations, task::task_host* host = nullptr);
    ~decision_task() override;

    /// @return the event loop, for the senders of the components; made before start()
    [[nodiscard]] task::event_loop& sender_loop() { return loop(); }

    /// Adds a component. Called before start(); messages reach components in the order of adding.
    void add(std::unique_ptr<component> added);

    /// Puts a configuration into force. Called by a component, on the thread of the task.
    void put_in_force(model::configuration_ptr configuration);

  private:
    model::configuration_ptr configuration_;
    std::vector<std::unique_ptr<component>> components_;
    std::optional<core::instant> timer_deadline_;
    task::timer_id timer_;

    absl::Status on_start() override;
    void on_message(const decision_message& message) override;
    void on_timer();
    void set_timer();
};

} // namespace cyclamen::instance
