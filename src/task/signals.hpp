#pragma once

#include "core/time.hpp"

namespace cyclamen::task {

/// Keeps SIGTERM, SIGINT, SIGHUP and SIGUSR1 from ending the process, in this thread and those that
/// it starts. Called first in main(), before any task starts.
void block_signals();

/// Makes writing to a connection that its peer has closed an error of that connection only, not the
/// end of the process. Every event loop calls it.
void ignore_sigpipe();

/// Waits for SIGTERM or SIGINT.
/// @param longest longest wait
/// @return true where one came in time
bool wait_for_stop_signal(core::duration max_wait);

/// What the main thread of a process is told by a signal.
enum class process_signal {
    /// SIGTERM or SIGINT: the process should end.
    stop,
    /// SIGHUP: settings may have changed.
    reload,
    /// wake_signal_waiter() was called.
    wake,
};

/// Waits for a signal of block_stop_signals() without a limit.
[[nodiscard]] process_signal wait_for_signal();

/// Ends wait_for_signal() with `wake`. Any thread may call it.
void wake_signal_waiter();

} // namespace cyclamen::task
