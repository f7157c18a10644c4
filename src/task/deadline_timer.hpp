#pragma once

#include <functional>
#include <optional>
#include <utility>

#include "task/event_loop.hpp"

namespace cyclamen::task {

/// One timer for an owner that knows when it is due next, and whose answer changes often. Used by
/// one task, on its thread.
class deadline_timer {
  public:
    /// @param loop event loop of the owning task
    /// @param callback looks at what is due; it says by set() when to look again
    deadline_timer(event_loop& loop, std::function<void()> callback)
        : loop_{loop}, callback_{std::move(callback)}
    {
    }

    /// Says when the owner is due.
    /// @param due empty where it is not; a timer that ends too early only looks again
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

    void cancel() { loop_.cancel(timer_); }

  private:
    event_loop& loop_;
    const std::function<void()> callback_;
    timer_id timer_;
    std::optional<core::instant> deadline_;
};

} // namespace cyclamen::task
