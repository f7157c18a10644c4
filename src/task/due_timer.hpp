#pragma once

#include <functional>
#include <optional>
#include <utility>

#include "task/event_loop.hpp"

namespace cyclamen::task {

/// One timer for an owner that knows when it is due next, and whose answer changes often. Used by
/// one task, on its thread.
class due_timer {
  public:
    /// @param loop event loop of the owning task
    /// @param callback looks at what is due; it says by set() when to look again
    due_timer(event_loop& loop, std::function<void()> callback)
        : loop_{loop}, callback_{std::move(callback)}
    {
    }

    /// Says when the owner is due.
    /// @param due empty where it is not; a timer that ends too early only looks again
    void set(std::optional<core::instant> due)
    {
        if (!due.has_value() || (due_.has_value() && *due_ <= *due)) {
            return;
        }
        loop_.cancel(timer_);
        due_ = due;
        timer_ = loop_.run_at(*due, [this] {
            due_.reset();
            callback_();
        });
    }

    void cancel() { loop_.cancel(timer_); }

  private:
    event_loop& loop_;
    const std::function<void()> callback_;
    timer_id timer_;
    std::optional<core::instant> due_;
};

} // namespace cyclamen::task
