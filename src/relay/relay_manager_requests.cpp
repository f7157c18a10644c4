#include "relay/relay_manager.hpp"

/// @file
/// What requests ask of the manager and report to it.

namespace cyclamen::relay {

namespace {

/// Account name in the metrics of public routes.
const core::account_name no_account{"public"};

metrics::series_labels labels_of(const request_plan& plan)
{
    return metrics::series_labels{plan.account.empty() ? no_account : plan.account, plan.service,
                                  plan.matched_route.rank};
}

} // namespace

std::optional<placement> relay_manager::place(const placement_query& query)
{
    return targets_.choose(query, now_);
}

std::optional<target_record> relay_manager::find_standby(const placement_query& query,
                                                         const target_record& target)
{
    return targets_.find_standby(query, target, now_);
}

void relay_manager::on_standby_changed(const std::optional<target_record>& from,
                                       const target_record& to)
{
    targets_.on_standby_changed(from, to);
}

std::vector<target_record> relay_manager::survey(const placement_query& query)
{
    return targets_.survey(query, now_);
}

std::optional<core::duration> relay_manager::time_to_return(const core::service_name& service)
{
    const auto earliest = targets_.earliest_return(service, now_);
    return earliest.has_value() ? std::optional{*earliest - now_} : std::nullopt;
}

bool relay_manager::may_retry(const core::service_name& service)
{
    return budget_.allows(service, now_);
}

void relay_manager::count_retry(const core::service_name& service)
{
    budget_.on_retry(service, now_);
}

void relay_manager::send(entry_command command)
{
    host_.send(std::move(command));
}

void relay_manager::send(target_command command)
{
    host_.send(std::move(command));
}

void relay_manager::on_opened(const placement& placed, std::uint64_t prompt_tokens)
{
    targets_.on_opened(placed, prompt_tokens);
    shares_.on_sent(placed.target.service, placed.target.name, now_);
}

void relay_manager::on_first_event(const core::target_name& target, std::uint64_t prompt_tokens)
{
    targets_.on_first_event(target, prompt_tokens);
}

void relay_manager::on_closed(const placement& placed, std::uint64_t unread_tokens)
{
    targets_.on_closed(placed, unread_tokens);
}

void relay_manager::on_answered(const request_plan& plan, core::duration waited)
{
    metrics_.on_answered(labels_of(plan), waited);
}

void relay_manager::on_ended(const request_plan& plan, std::string_view outcome)
{
    metrics_.on_ended(labels_of(plan), outcome);
}

void relay_manager::on_attempt_ended(const request_plan& plan, std::string_view event)
{
    metrics_.on_attempt(labels_of(plan), event);
}

void relay_manager::on_loss(const core::target_name& target)
{
    targets_.on_loss(target, now_);
    shares_.on_lost(target, now_);
}

void relay_manager::on_success(const core::target_name& target)
{
    targets_.on_success(target, now_);
}

void relay_manager::on_misdirected(const target_record& listed)
{
    targets_.on_misdirected(listed.name);
    update_shares();
    const service_traits* traits = table_->find_service(listed.service);
    if (traits != nullptr && traits->engine.has_value()) {
        host_.send(identify_target{listed, traits->health_path});
    }
}

} // namespace cyclamen::relay
