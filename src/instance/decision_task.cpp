#include "instance/decision_task.hpp"

#include <algorithm>

namespace cyclamen::instance {

decision_task::decision_task(model::configuration_ptr declarations, task::task_host* host)
    : basic_task{"decisions", host}, configuration_{std::move(declarations)}
{
}

decision_task::~decision_task()
{
    stop();
}

void decision_task::add(std::unique_ptr<component> added)
{
    components_.push_back(std::move(added));
}

void decision_task::put_in_force(model::configuration_ptr configuration)
{
    configuration_ = std::move(configuration);
    for (const auto& each : components_) {
        each->on_configuration(configuration_, now());
    }
}

absl::Status decision_task::on_start()
{
    put_in_force(configuration_);
    for (const auto& each : components_) {
        each->on_start(now());
    }
    set_timer();
    return absl::OkStatus();
}

void decision_task::on_message(const decision_message& message)
{
    for (const auto& each : components_) {
        each->on_message(message, now());
    }
    set_timer();
}

void decision_task::on_timer()
{
    timer_deadline_.reset();
    const core::instant current = now();
    for (const auto& each : components_) {
        const auto deadline = each->next_deadline();
        if (deadline.has_value() && *deadline <= current) {
            each->on_timer(current);
        }
    }
    set_timer();
}

void decision_task::set_timer()
{
    std::optional<core::instant> next;
    for (const auto& each : components_) {
        const auto deadline = each->next_deadline();
        if (deadline.has_value()) {
            next = std::min(next.value_or(*deadline), *deadline);
        }
    }
    if (next == timer_deadline_) {
        return;
    }
    loop().cancel(timer_);
    timer_deadline_ = next;
    if (next.has_value()) {
        timer_ = loop().run_at(*next, [this] { on_timer(); });
    }
}

} // namespace cyclamen::instance
