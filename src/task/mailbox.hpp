#pragma once

#include <cstddef>
#include <deque>
#include <mutex>

#include "core/error.hpp"
#include "core/text.hpp"
#include "task/event_loop.hpp"
#include "task/outbox.hpp"

namespace cyclamen::task {

/// Bounded message queue of one task. Posting to the empty queue wakes the task's event loop.
/// @tparam Message an immutable value type
template <class Message>
class mailbox final : public outbox<Message> {
  public:
    /// @param owner name of the receiving task, for error messages
    /// @param capacity maximum number of queued messages
    mailbox(std::string owner, std::size_t capacity) : owner_{std::move(owner)}, capacity_{capacity}
    {
    }

    absl::Status post(Message message) override
    {
        const std::lock_guard guard{mutex_};
        if (stopping_) {
            return core::make_error(core::error_kind::unavailable,
                                    core::concat("task ", owner_, " has stopped"),
                                    "don't send it any more messages");
        }
        if (waiting_.size() >= capacity_) {
            return core::make_error(core::error_kind::overloaded,
                                    core::concat("mailbox of task ", owner_, " is full"),
                                    "retry later or reject the work");
        }
        waiting_.push_back(std::move(message));
        if (waiting_.size() == 1 && loop_ != nullptr) {
            loop_->wake();
        }
        return absl::OkStatus();
    }

    /// Asks the task to stop after the messages that are queued already. Any thread may call it.
    void post_stop()
    {
        const std::lock_guard guard{mutex_};
        stopping_ = true;
        if (loop_ != nullptr) {
            loop_->wake();
        }
    }

    /// Sets the event loop that post() wakes. Called by the task.
    void open(event_loop& loop)
    {
        const std::lock_guard guard{mutex_};
        loop_ = &loop;
    }

    /// Disconnects the mailbox from the event loop, which is about to close, and discards queued
    /// messages. Called by the task.
    void close()
    {
        const std::lock_guard guard{mutex_};
        loop_ = nullptr;
        stopping_ = true;
        waiting_.clear();
    }

    /// Removes and returns all queued messages. Called by the task.
    [[nodiscard]] std::deque<Message> take()
    {
        std::deque<Message> taken;
        const std::lock_guard guard{mutex_};
        taken.swap(waiting_);
        return taken;
    }

    /// @return true if the task should stop; no message follows
    [[nodiscard]] bool is_stopping()
    {
        const std::lock_guard guard{mutex_};
        return stopping_ && waiting_.empty();
    }

  private:
    const std::string owner_;
    const std::size_t capacity_;
    std::mutex mutex_;
    event_loop* loop_ = nullptr;
    std::deque<Message> waiting_;
    bool stopping_ = false;
};

} // namespace cyclamen::task
