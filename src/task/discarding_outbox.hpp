#pragma once

#include "task/outbox.hpp"

namespace cyclamen::task {

/// Accepts and discards every message. Replaces the outbox of a task that an instance doesn't run.
/// @tparam Message an immutable value type
template <class Message>
class discarding_outbox final : public outbox<Message> {
  public:
    absl::Status post(Message /*message*/) override { return absl::OkStatus(); }
};

} // namespace cyclamen::task
