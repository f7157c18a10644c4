#pragma once

#include <future>
#include <string>
#include <thread>
#include <vector>

#include <absl/status/status.h>

#include "core/time.hpp"
#include "task/event_loop.hpp"
#include "task/hosted_task.hpp"

namespace cyclamen::task {

/// A thread with an event loop that runs one or more tasks. A message between two tasks of the same
/// host goes through a queue and costs no system call and no context switch.
class task_host {
  public:
    task_host() = default;
    ~task_host();
    task_host(const task_host&) = delete;
    task_host& operator=(const task_host&) = delete;

    /// @return the event loop that the hosted tasks share
    [[nodiscard]] event_loop& loop() { return loop_; }

    /// Adds a task. Called before start(). Tasks are opened in this order and closed in reverse.
    /// @param task must live until stop() has returned
    void add(hosted_task& task) { tasks_.push_back(&task); }

    /// Starts the thread and waits until every task is open.
    /// @return OK, or the error of the first task that failed to open; the thread has then ended
    absl::Status start();

    /// Asks all tasks to stop and waits until the thread has ended. No effect if it isn't running.
    void stop();

    [[nodiscard]] bool is_running() const { return thread_.joinable(); }

    /// @return processor time that the thread has used; only valid after stop()
    [[nodiscard]] core::duration processor_time() const { return processor_time_; }

  private:
    event_loop loop_;
    std::vector<hosted_task*> tasks_;
    std::thread thread_;
    core::duration processor_time_{};

    void run(std::promise<absl::Status> started);
    bool handle_messages();
    [[nodiscard]] bool is_stopping() const;
};

} // namespace cyclamen::task
