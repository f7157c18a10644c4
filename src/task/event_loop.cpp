#include "task/event_loop.hpp"

#include <algorithm>

#include "task/h2o.hpp"
#include "task/signals.hpp"

namespace cyclamen::task {

namespace {

/// Iterations of the loop in which h2o releases closed sockets before the loop itself is released.
constexpr int close_iterations = 4;

void ignore_messages(h2o_multithread_receiver_t* /*receiver*/, h2o_linklist_t* messages)
{
    while (!h2o_linklist_is_empty(messages)) {
        h2o_linklist_unlink(messages->next);
    }
}

} // namespace

struct event_loop::native_loop {
    h2o_evloop_t* loop = nullptr;
    h2o_multithread_queue_t* queue = nullptr;
    h2o_multithread_receiver_t receiver{};
};

event_loop::event_loop() = default;

event_loop::~event_loop() = default;

void event_loop::open()
{
    ignore_sigpipe();
    thread_ = std::this_thread::get_id();
    native_ = std::make_unique<native_loop>();
    native_->loop = h2o_evloop_create();
    native_->queue = h2o_multithread_create_queue(native_->loop);
    h2o_multithread_register_receiver(native_->queue, &native_->receiver, ignore_messages);
}

void event_loop::close()
{
    timers_.clear();
    deadlines_.clear();
    h2o_multithread_unregister_receiver(native_->queue, &native_->receiver);
    h2o_multithread_destroy_queue(native_->queue);
    for (int iteration = 0; iteration < close_iterations; ++iteration) {
        h2o_evloop_run(native_->loop, 0);
    }
    h2o_evloop_destroy(native_->loop);
    native_.reset();
}

st_h2o_evloop_t* event_loop::native()
{
    return native_->loop;
}

timer_id event_loop::run_at(core::instant deadline, std::function<void()> callback)
{
    last_timer_ = last_timer_.next();
    timers_.emplace(std::pair{deadline, last_timer_}, std::move(callback));
    deadlines_.emplace(last_timer_, deadline);
    return last_timer_;
}

timer_id event_loop::run_after(core::duration delay, std::function<void()> callback)
{
    return run_at(now() + delay, std::move(callback));
}

void event_loop::run_every(core::duration period, std::function<void()> callback)
{
    run_after(period, [this, period, callback = std::move(callback)] {
        callback();
        run_every(period, callback);
    });
}

void event_loop::cancel(timer_id timer)
{
    const auto found = deadlines_.find(timer);
    if (found != deadlines_.end()) {
        timers_.erase({found->second, timer});
        deadlines_.erase(found);
    }
}

void event_loop::wake()
{
    if (std::this_thread::get_id() != thread_) {
        h2o_multithread_send_message(&native_->receiver, nullptr);
    }
}

void event_loop::complete_writes()
{
    h2o_evloop_run(native_->loop, 0);
}

void event_loop::wait(core::duration max_wait)
{
    read_until_ = now();
    const core::duration wait = time_to_next_timer(max_wait);
    const auto wait_ms = std::chrono::ceil<std::chrono::milliseconds>(wait).count();
    h2o_evloop_run(native_->loop, static_cast<std::int32_t>(wait_ms));
}

void event_loop::run_once(core::duration max_wait)
{
    wait(max_wait);
    wait(core::duration::zero());
    if (run_timers()) {
        complete_writes();
    }
}

core::duration event_loop::time_to_next_timer(core::duration max_wait) const
{
    if (timers_.empty()) {
        return max_wait;
    }
    const core::duration remaining = timers_.begin()->first.first - now();
    return std::clamp(remaining, core::duration::zero(), max_wait);
}

bool event_loop::run_timers()
{
    bool fired = false;
    while (!timers_.empty() && timers_.begin()->first.first <= read_until_) {
        const auto first = timers_.begin();
        const std::function<void()> callback = std::move(first->second);
        deadlines_.erase(first->first.second);
        timers_.erase(first);
        callback();
        fired = true;
    }
    return fired;
}

} // namespace cyclamen::task
