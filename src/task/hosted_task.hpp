#pragma once

#include <absl/status/status.h>

namespace cyclamen::task {

/// Interface through which a task_host runs a task. All functions are called on the thread of the
/// host, except request_stop(), which any thread may call.
class hosted_task {
  public:
    virtual ~hosted_task() = default;

    /// Connects the mailbox to the open event loop, then opens sockets and starts timers.
    virtual absl::Status open() = 0;

    /// Handles the queued messages.
    /// @return true if there was one
    virtual bool handle_messages() = 0;

    /// Asks the task to stop after the messages that are queued already.
    virtual void request_stop() = 0;

    /// @return true if the task was asked to stop and no message is queued
    [[nodiscard]] virtual bool is_stopping() = 0;

    /// Closes sockets and the mailbox. Called before the event loop closes.
    virtual void close() = 0;
};

} // namespace cyclamen::task
