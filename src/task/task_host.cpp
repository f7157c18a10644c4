#include "task/task_host.hpp"

#include <algorithm>
#include <cassert>

#include "task/processor_time.hpp"

namespace cyclamen::task {

namespace {

/// Longest wait for socket events; messages and timers end it early.
constexpr core::duration max_wait = std::chrono::seconds{10};

/// Rounds of message handling before timers and sockets are checked again, so that tasks that
/// answer each other can't starve them.
constexpr int max_message_rounds = 8;

} // namespace

task_host::~task_host()
{
    assert(!thread_.joinable() && "stop() a host before it is destroyed");
}

absl::Status task_host::start()
{
    std::promise<absl::Status> started;
    auto result = started.get_future();
    thread_ =
        std::thread{[this, promise = std::move(started)]() mutable { run(std::move(promise)); }};
    absl::Status status = result.get();
    if (!status.ok()) {
        thread_.join();
    }
    return status;
}

void task_host::stop()
{
    if (thread_.joinable()) {
        for (hosted_task* task : tasks_) {
            task->request_stop();
        }
        thread_.join();
    }
}

void task_host::run(std::promise<absl::Status> started)
{
    loop_.open();
    absl::Status status = absl::OkStatus();
    std::size_t opened = 0;
    while (status.ok() && opened < tasks_.size()) {
        status = tasks_[opened]->open();
        ++opened;
    }
    started.set_value(status);
    while (status.ok() && !is_stopping()) {
        // Messages from sockets are handled before timers: after a stall both may be pending, and
        // an answer that has already arrived must not be treated as late.
        bool handled = false;
        for (int round = 0; round < max_message_rounds && handle_messages(); ++round) {
            handled = true;
        }
        const bool timer_fired = loop_.run_timers();
        loop_.wait(handled || timer_fired || is_stopping() ? core::duration::zero() : max_wait);
    }
    while (opened > 0) {
        --opened;
        tasks_[opened]->close();
    }
    loop_.close();
    processor_time_ = thread_processor_time();
}

bool task_host::handle_messages()
{
    bool handled = false;
    for (hosted_task* task : tasks_) {
        handled = task->handle_messages() || handled;
    }
    return handled;
}

bool task_host::is_stopping() const
{
    return std::all_of(tasks_.begin(), tasks_.end(),
                       [](hosted_task* task) { return task->is_stopping(); });
}

} // namespace cyclamen::task
