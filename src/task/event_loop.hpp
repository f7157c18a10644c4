#pragma once

#include <functional>
#include <map>
#include <memory>
#include <thread>

#include "core/clock.hpp"
#include "core/identifier.hpp"

struct st_h2o_evloop_t;

namespace cyclamen::task {

/// Numbers the timers of one event loop.
using timer_id = core::number<struct timer_id_tag>;

/// The event loop of one task: sockets through h2o, timers, and a wake-up from other threads.
/// It is made by any thread; then everything but wake() is called on the thread of the task.
class event_loop {
  public:
    event_loop();
    ~event_loop();

    /// Opens the loop. Called first, on the thread of the task: h2o keeps buffers by thread.
    void open();

    /// Closes the loop and forgets its timers. Called last, on the thread of the task.
    void close();

    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// @return the h2o loop, for the HTTP and socket wrappers
    [[nodiscard]] st_h2o_evloop_t* native();

    /// @return the clock of the loop
    [[nodiscard]] const core::clock& clock() const { return clock_; }

    /// @return the current instant
    [[nodiscard]] core::instant now() const { return clock_.now(); }

    /// Calls a function once, not before the instant; timers have a resolution of 1 ms.
    /// @param due when to call
    /// @param callback what to call
    /// @return the timer, for cancel()
    timer_id run_at(core::instant deadline, std::function<void()> callback);

    /// Calls a function once after a delay.
    timer_id run_after(core::duration delay, std::function<void()> callback);

    /// Calls a function again and again until the loop ends.
    /// @param period time between the end of one call and the next call
    /// @param callback what to call
    void run_every(core::duration period, std::function<void()> callback);

    /// Forgets a timer; no effect where it has fired.
    void cancel(timer_id timer);

    /// Interrupts the wait of the loop. Any thread may call it, between open() and close(). On the
    /// loop's own thread there is no wait to interrupt, and the call does nothing.
    void wake();

    /// Serves sockets that were written to outside of run_once(). h2o puts their completions into a
    /// list that it visits only after a wait, so this must come before the next wait.
    void complete_writes();

    /// Waits for sockets, the next timer or a wake-up, and serves the sockets.
    /// @param longest longest wait
    void wait(core::duration max_wait);

    /// Calls what timers are due for.
    /// @return true where one was
    bool run_timers();

    /// Does both, for a loop without tasks.
    /// @param longest longest wait
    void run_once(core::duration max_wait);

  private:
    struct native_loop;
    std::unique_ptr<native_loop> native_;
    std::thread::id thread_;
    core::system_clock clock_;
    std::map<std::pair<core::instant, timer_id>, std::function<void()>> timers_;
    std::map<timer_id, core::instant> deadlines_;
    timer_id last_timer_;

    [[nodiscard]] core::duration time_to_next_timer(core::duration max_wait) const;
};

} // namespace cyclamen::task
