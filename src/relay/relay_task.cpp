#include "relay/relay_task.hpp"

#include "limits/ordered_start.hpp"
#include "relay/least_work_chooser.hpp"

namespace cyclamen::relay {

relay_task::relay_task(task::task_host& host, relay_settings settings, relay_charts charts)
    : basic_task{"relay", &host}, settings_{std::move(settings)}, charts_{std::move(charts)},
      timer_{loop(), [this] {
                 manager_->on_timer(now(), loop().read_until());
                 timer_.set(manager_->next_deadline());
             }}
{
}

void relay_task::connect(const relay_outboxes& to)
{
    entries_.emplace(to.entries, loop());
    targets_.emplace(to.targets, loop());
    store_.emplace(to.store, loop());
    owner_.emplace(to.owner, loop());
}

absl::Status relay_task::on_start()
{
    manager_ = std::make_unique<relay_manager>(
        settings_, charts_, std::make_unique<least_work_chooser>(settings_.placement),
        [] { return std::make_unique<limits::ordered_start>(); },
        std::make_unique<progress_silence_policy>(), static_cast<relay_host&>(*this));
    manager_->start(now());
    timer_.set(manager_->next_deadline());
    return absl::OkStatus();
}

void relay_task::on_message(const relay_message& message)
{
    manager_->handle(message, now());
    timer_.set(manager_->next_deadline());
}

void relay_task::on_stop()
{
    timer_.cancel();
    manager_.reset();
}

void relay_task::send(entry_command command)
{
    entries_->send(std::move(command));
}

void relay_task::send(target_command command)
{
    targets_->send(std::move(command));
}

void relay_task::send(store_command command)
{
    store_->send(std::move(command));
}

void relay_task::end_process(bool work_cut)
{
    owner_->send(instance_left{work_cut});
}

} // namespace cyclamen::relay
