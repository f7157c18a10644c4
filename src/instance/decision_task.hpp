#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "instance/component.hpp"
#include "instance/senders.hpp"
#include "task/basic_task.hpp"

namespace cyclamen::instance {

/// Runs the decision code of one instance: passes messages and timers to its components. It owns no
/// sockets and is independent of encodings.
class decision_task final : public task::basic_task<decision_message> {
  public:
    /// @param declarations initial configuration
    /// @param host thread that the task runs on, null for a thread of its own
    explicit decision_task(model::configuration_ptr declarations, task::task_host* host = nullptr);
    ~decision_task() override;

    /// @return the event loop, for creating the senders of the components before start()
    [[nodiscard]] task::event_loop& sender_loop() { return loop(); }

    /// Adds a component. Must be called before start(). Components receive messages in the order in
    /// which they were added.
    void add(std::unique_ptr<component> added);

    /// Puts a configuration into force in all components. Called by a component on this task.
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
