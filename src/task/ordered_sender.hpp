#pragma once

#include <deque>

#include "core/error.hpp"
#include "task/event_loop.hpp"
#include "task/outbox.hpp"

namespace cyclamen::task {

/// Sends messages in order to a mailbox that may be full: messages that don't fit are kept in a
/// backlog and retried on a timer. Used by one task, on its thread.
/// @tparam Message an immutable value type
template <class Message>
class ordered_sender {
  public:
    /// @param to outbox of the receiver
    /// @param loop event loop of the sending task
    ordered_sender(outbox_ptr<Message> to, event_loop& loop) : to_{std::move(to)}, loop_{loop} {}

    /// Sends a message after those of the backlog.
    void send(Message message)
    {
        if (backlog_.empty() && to_->post(message).ok()) {
            return;
        }
        backlog_.push_back(std::move(message));
        if (backlog_.size() == 1) {
            retry_later();
        }
    }

    /// @return the number of messages in the backlog
    [[nodiscard]] std::size_t backlog() const { return backlog_.size(); }

  private:
    static constexpr core::duration retry_period = std::chrono::milliseconds{2};

    outbox_ptr<Message> to_;
    event_loop& loop_;
    std::deque<Message> backlog_;

    void retry_later()
    {
        loop_.run_after(retry_period, [this] { flush(); });
    }

    void flush()
    {
        while (!backlog_.empty()) {
            const absl::Status status = to_->post(backlog_.front());
            if (core::kind_of(status) == core::error_kind::overloaded) {
                retry_later();
                return;
            }
            // Delivered, or the receiver has stopped and needs nothing more.
            backlog_.pop_front();
        }
    }
};

} // namespace cyclamen::task
