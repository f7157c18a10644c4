#pragma once

#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>

#include "core/time.hpp"
#include "task/outbox.hpp"

namespace cyclamen::task {

/// Receives messages on a thread that doesn't run a task, such as the main thread of a command.
/// @tparam Message an immutable value type
template <class Message>
class channel final : public outbox<Message> {
  public:
    absl::Status post(Message message) override
    {
        const std::lock_guard guard{mutex_};
        waiting_.push_back(std::move(message));
        arrived_.notify_one();
        return absl::OkStatus();
    }

    /// Blocks until a message arrives.
    /// @param max_wait time limit
    /// @return the message, empty if none arrived within the time limit
    [[nodiscard]] std::optional<Message> take(core::duration max_wait)
    {
        std::unique_lock lock{mutex_};
        if (!arrived_.wait_for(lock, max_wait, [this] { return !waiting_.empty(); })) {
            return std::nullopt;
        }
        std::optional<Message> taken{std::move(waiting_.front())};
        waiting_.pop_front();
        return taken;
    }

  private:
    std::mutex mutex_;
    std::condition_variable arrived_;
    std::deque<Message> waiting_;
};

} // namespace cyclamen::task
