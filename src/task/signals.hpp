#pragma once

#include "core/time.hpp"

namespace cyclamen::task {

/// Blocks SIGTERM, SIGINT, SIGHUP and SIGUSR1 in this thread and in those that it starts, so that
/// wait_for_signal() receives them instead of their default actions ending the process. Called
/// first in main(), before any task starts.
void block_signals();

/// Ignores SIGPIPE: writing to a connection that the peer has closed then fails with an error of
/// that connection instead of ending the process. Called by every event loop.
void ignore_sigpipe();

/// Waits for SIGTERM or SIGINT.
/// @param max_wait time limit
/// @return true if one arrived within the time limit
bool wait_for_stop_signal(core::duration max_wait);

/// Meaning of a signal to the main thread of a process.
enum class process_signal {
    /// SIGTERM or SIGINT: the process should shut down.
    stop,
    /// SIGHUP: settings may have changed.
    reload,
    /// wake_signal_waiter() was called.
    wake,
};

/// Waits without a time limit for one of the signals that block_signals() blocks.
[[nodiscard]] process_signal wait_for_signal();

/// Makes wait_for_signal() return `wake`. Any thread may call it.
void wake_signal_waiter();

} // namespace cyclamen::task
