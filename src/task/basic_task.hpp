#pragma once

#include <cassert>
#include <memory>
#include <string>

#include <absl/status/status.h>

#include "task/event_loop.hpp"
#include "task/hosted_task.hpp"
#include "task/mailbox.hpp"
#include "task/outbox.hpp"
#include "task/task_host.hpp"

namespace cyclamen::task {

/// Default number of messages that may be queued for a task.
constexpr std::size_t default_mailbox_capacity = 1 << 18;

/// Base class of tasks. A task owns its sockets and its state; other tasks communicate with it only
/// through messages. It runs on its own thread, controlled by start() and stop(), or shares the
/// thread of a task_host with other tasks.
/// @tparam Message immutable value type of the messages that it receives
template <class Message>
class basic_task : public hosted_task {
  public:
    /// Creates a task with its own thread.
    /// @param task_name name for logs and error messages
    /// @param capacity maximum number of queued messages
    explicit basic_task(std::string task_name, std::size_t capacity = default_mailbox_capacity)
        : basic_task{std::move(task_name), nullptr, capacity}
    {
    }

    /// Creates a task for a host. The caller passes the task to task_host::add().
    /// @param task_name name for logs and error messages
    /// @param host must outlive the task; null for a task with its own thread
    /// @param capacity maximum number of queued messages
    basic_task(std::string task_name, task_host* host,
               std::size_t capacity = default_mailbox_capacity)
        : name_{std::move(task_name)}, own_host_{host == nullptr ? std::make_unique<task_host>()
                                                                 : nullptr},
          loop_{host == nullptr ? own_host_->loop() : host->loop()},
          mailbox_{std::make_shared<mailbox<Message>>(name_, capacity)}
    {
        if (own_host_ != nullptr) {
            own_host_->add(*this);
        }
    }

    ~basic_task() override
    {
        assert((own_host_ == nullptr || !own_host_->is_running()) &&
               "stop() a task before it is destroyed");
    }
    basic_task(const basic_task&) = delete;
    basic_task& operator=(const basic_task&) = delete;

    /// Starts the task's own thread and waits until on_start() has run.
    /// @return the result of on_start(); on failure, the thread has ended
    absl::Status start() { return own_host_->start(); }

    /// Asks the task to stop, and waits until its own thread has ended. No effect if it has ended
    /// already or if the task runs on the thread of a host.
    void stop()
    {
        if (own_host_ != nullptr) {
            own_host_->stop();
        }
    }

    /// @return the outbox through which other tasks post messages to this one; valid before start()
    /// and after stop()
    [[nodiscard]] outbox_ptr<Message> inbox() const { return mailbox_; }

    [[nodiscard]] const std::string& name() const { return name_; }

    /// @return processor time that the task's own thread has used; only for tasks with their own
    /// thread, after stop()
    [[nodiscard]] core::duration processor_time() const { return own_host_->processor_time(); }

    absl::Status open() final
    {
        mailbox_->open(loop_);
        return on_start();
    }

    bool handle_messages() final
    {
        const auto messages = mailbox_->take();
        for (const Message& message : messages) {
            on_message(message);
        }
        return !messages.empty();
    }

    void request_stop() final { mailbox_->post_stop(); }

    [[nodiscard]] bool is_stopping() final { return mailbox_->is_stopping(); }

    void close() final
    {
        on_stop();
        mailbox_->close();
    }

  protected:
    /// Opens sockets and starts timers.
    virtual absl::Status on_start() { return absl::OkStatus(); }

    /// Handles one message. Messages of one sender arrive in the order in which they were posted.
    virtual void on_message(const Message& message) = 0;

    /// Closes sockets. Called after the last message.
    virtual void on_stop() {}

    [[nodiscard]] event_loop& loop() { return loop_; }
    [[nodiscard]] core::instant now() const { return loop_.now(); }

  private:
    const std::string name_;
    /// Null if the task runs on the thread of a host.
    const std::unique_ptr<task_host> own_host_;
    event_loop& loop_;
    std::shared_ptr<mailbox<Message>> mailbox_;
};

} // namespace cyclamen::task
