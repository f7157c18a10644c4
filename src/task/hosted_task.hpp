#pragma once

#include <absl/status/status.h>

namespace cyclamen::task {

/// A task as the host that runs it sees it. task_host calls everything on its own thread, except
/// request_stop(), which any thread may call.
class hosted_task {
  public:
    virtual ~hosted_task() = default;

    /// Connects the mailbox with the open event loop, then opens sockets and starts timers.
    virtual absl::Status open() = 0;

    /// Handles the messages that wait.
    /// @return true where there was one
    virtual bool handle_messages() = 0;

    /// Asks the task to stop after the messages that wait already.
    virtual void request_stop() = 0;

    /// @return true where it was asked to stop and no message waits
    [[nodiscard]] virtual bool is_stopping() = 0;

    /// Closes sockets and the mailbox, before the event loop closes.
    virtual void close() = 0;
};

} // namespace cyclamen::task
