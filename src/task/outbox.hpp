#pragma once

#include <memory>
#include <utility>

#include <absl/status/status.h>

namespace cyclamen::task {

/// Sending end of a message queue to another task. Any thread may call post().
/// @tparam Message an immutable value type
template <class Message>
class outbox {
  public:
    virtual ~outbox() = default;

    /// Posts a message. Messages of one sender arrive in order.
    /// @param message the message
    /// @return OK, overloaded if the mailbox is full, or unavailable if the task has stopped
    virtual absl::Status post(Message message) = 0;
};

template <class Message>
using outbox_ptr = std::shared_ptr<outbox<Message>>;

namespace detail {

template <class Part, class Whole>
class converting_outbox final : public outbox<Part> {
  public:
    explicit converting_outbox(outbox_ptr<Whole> to) : to_{std::move(to)} {}
    absl::Status post(Part message) override { return to_->post(Whole{std::move(message)}); }

  private:
    outbox_ptr<Whole> to_;
};

} // namespace detail

/// Narrows an outbox to one message type, so that a sender can post only what it is meant to send.
/// @tparam Part type that the sender posts
/// @tparam Whole message type of the receiver, usually a variant that holds Part
/// @param to outbox of the receiver
/// @return an outbox that converts Part to Whole
template <class Part, class Whole>
[[nodiscard]] outbox_ptr<Part> narrow(outbox_ptr<Whole> to)
{
    return std::make_shared<detail::converting_outbox<Part, Whole>>(std::move(to));
}

} // namespace cyclamen::task
