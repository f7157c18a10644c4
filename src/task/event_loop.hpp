#pragma once

#include <functional>
#include <map>
#include <memory>
#include <thread>

#include "core/clock.hpp"
#include "core/identifier.hpp"

struct st_h2o_evloop_t;

namespace cyclamen::task {

/// Identifies a timer of one event loop.
using timer_id = core::number<struct timer_id_tag>;

/// The event loop of a task thread: h2o sockets, timers, and a wake-up from other threads.
/// It can be constructed on any thread; everything else except wake() is called on the thread of
/// the task.
class event_loop {
  public:
    event_loop();
    ~event_loop();

    /// Opens the loop. Called before anything else, on the thread of the task, because h2o keeps
    /// thread-local buffers.
    void open();

    /// Closes the loop and discards its timers. Called last, on the thread of the task.
    void close();

    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// @return the underlying h2o loop, for the HTTP and socket wrappers
    [[nodiscard]] st_h2o_evloop_t* native();

    /// @return the clock of the loop
    [[nodiscard]] const core::clock& clock() const { return clock_; }

    /// @return the current instant
    [[nodiscard]] core::instant now() const { return clock_.now(); }

    /// Calls a function once, not before a given instant. Timers have a resolution of 1 ms.
    /// @param deadline when to call the function
    /// @param callback the function
    /// @return the timer, for cancel()
    timer_id run_at(core::instant deadline, std::function<void()> callback);

    /// Calls a function once after a delay.
    timer_id run_after(core::duration delay, std::function<void()> callback);

    /// Calls a function periodically until the loop is closed.
    /// @param period time from the end of one call to the next call
    /// @param callback the function
    void run_every(core::duration period, std::function<void()> callback);

    /// Cancels a timer. No effect if it has fired.
    void cancel(timer_id timer);

    /// Interrupts the loop's wait. Any thread may call it, between open() and close(). On the
    /// loop's own thread there is no wait to interrupt, and the call does nothing.
    void wake();

    /// Runs the completions of socket writes made outside of run_once(). h2o puts them into a list
    /// that it processes only after a wait, so this must be called before the next wait.
    void complete_writes();

    /// Waits for a socket event, the next timer or a wake-up, and runs the socket callbacks.
    /// @param max_wait time limit
    void wait(core::duration max_wait);

    /// Runs the callbacks of the timers that had expired before the last wait(). After a stall the
    /// sockets are thus read first: bytes that arrived in time are not late.
    /// @return true if there was one
    bool run_timers();

    /// @return start of the last wait(); what arrived on sockets before it was read
    [[nodiscard]] core::instant read_until() const { return read_until_; }

    /// Waits and runs the timers that expire meanwhile, for a loop without tasks.
    /// @param max_wait time limit
    void run_once(core::duration max_wait);

  private:
    struct native_loop;
    std::unique_ptr<native_loop> native_;
    std::thread::id thread_;
    core::system_clock clock_;
    std::map<std::pair<core::instant, timer_id>, std::function<void()>> timers_;
    std::map<timer_id, core::instant> deadlines_;
    timer_id last_timer_;
    core::instant read_until_;

    [[nodiscard]] core::duration time_to_next_timer(core::duration max_wait) const;
};

} // namespace cyclamen::task
