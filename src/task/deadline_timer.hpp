#pragma once

#include <functional>
#include <optional>
#include <utility>

#include "task/event_loop.hpp"

namespace cyclamen::task {

/// A timer for an owner that has one next deadline, which changes often. Setting a later deadline
/// doesn't touch the event loop: the pending timer runs early and the owner sets it again. Used by
/// one task, on its thread.
class deadline_timer {
  public:
    /// @param loop event loop of the owning task
    /// @param callback handles what is due, if anything, and calls set() with the next deadline
    deadline_timer(event_loop& loop, std::function<void()> callback)
        : loop_{loop}, callback_{std::move(callback)}
    {
    }

    /// Sets the next deadline. The callback runs no later than that, and possibly earlier.
    /// @param deadline empty if there is none; a pending timer then still runs the callback
    void set(std::optional<core::instant> deadline)
    {
        if (!deadline.has_value() || (deadline_.has_value() && *deadline_ <= *deadline)) {
            return;
        }
        loop_.cancel(timer_);
        deadline_ = deadline;
        timer_ = loop_.run_at(*deadline, [this] {
            deadline_.reset();
            callback_();
        });
    }

    /// Cancels the pending timer. Called when the owner stops; set() has no use after it.
    void cancel() { loop_.cancel(timer_); }

  private:
    event_loop& loop_;
    const std::function<void()> callback_;
    timer_id timer_;
    std::optional<core::instant> deadline_;
};

} // namespace cyclamen::task
