#include "instance/call_component.hpp"

#include <random>

#include "core/text.hpp"

namespace cyclamen::instance {

call_component::call_component(const call::call_settings& settings, std::string origin,
                               std::shared_ptr<const chart::chart> definition,
                               std::unique_ptr<routing::target_chooser> chooser,
                               table::table_client& table, senders& out)
    : out_{out}, table_{table}, chooser_{std::move(chooser)}, store_{table},
      manager_{settings, std::move(origin), std::move(definition), *chooser_, store_, *this}
{
    table_.add_restore_listener(*this);
}

std::string call_component::make_origin(const core::instance_name& instance)
{
    std::random_device random;
    return core::concat(instance.str(), "/", random(), "-", random());
}

void call_component::on_configuration(const model::configuration_ptr& configuration,
                                      core::instant /*now*/)
{
    manager_.configure(configuration);
}

void call_component::on_message(const decision_message& message, core::instant now)
{
    if (const auto* event = std::get_if<api::service_event>(&message)) {
        manager_.on_service_event(*event, now);
        return;
    }
    const auto* front = std::get_if<api::front_event>(&message);
    if (front == nullptr) {
        return;
    }
    if (const auto* request = std::get_if<api::call_request>(front)) {
        manager_.on_request(*request, now);
    }
    else if (const auto* gone = std::get_if<api::caller_gone>(front)) {
        manager_.on_caller_gone(gone->caller, now);
    }
}

std::optional<core::instant> call_component::next_deadline() const
{
    return manager_.next_deadline();
}

void call_component::on_timer(core::instant now)
{
    manager_.on_timer(now);
}

std::string call_component::metrics() const
{
    const call::call_counts counts = manager_.counts();
    std::string text;
    const auto add = [&text](std::string_view name, std::uint64_t value) {
        core::append(text, "cyclamencourse_", name, " ", value, "\n");
    };
    add("calls_received_total", counts.received);
    add("calls_answered_total", counts.answered);
    add("calls_refused_not_run_total", counts.refused_not_run);
    add("calls_outcome_unknown_total", counts.unknown);
    add("calls_offered_total", counts.offered);
    add("calls_live", manager_.live_count());
    add("call_claims_to_write", manager_.claim_writer_backlog());
    add("table_commits_total", table_.commits());
    add("table_transactions_total", table_.transactions());
    add("table_reads_total", table_.reads());
    add("table_failures_total", table_.failures());
    return text;
}

void call_component::send(api::service_command command)
{
    out_.services.send(std::move(command));
}

void call_component::send(api::call_answer answer)
{
    out_.front.send(std::move(answer));
}

void call_component::send(api::call_failed failed)
{
    out_.front.send(std::move(failed));
}

} // namespace cyclamen::instance
