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

/// A thread with one event loop that runs one task or several. A message between tasks of one host
/// goes through a queue: it costs no system call and no switch between threads.
class task_host {
  public:
    task_host() = default;
    ~task_host();
    task_host(const task_host&) = delete;
    task_host& operator=(const task_host&) = delete;

    /// @return the loop that hosted tasks are constructed with
    [[nodiscard]] event_loop& loop() { return loop_; }

    /// Adds a task, before start(). Tasks are opened in this order and closed in the opposite one.
    /// @param task outlives the run of the host
    void add(hosted_task& task) { tasks_.push_back(&task); }

    /// Starts the thread and waits until every task has opened.
    /// @return the first failure; the thread has then ended
    absl::Status start();

    /// Asks all tasks to stop and waits until the thread has ended. No effect where it has.
    void stop();

    [[nodiscard]] bool is_running() const { return thread_.joinable(); }

    /// @return processor time that the thread has used; called after stop()
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
