#include "instance/generation_component.hpp"

namespace cyclamen::instance {

generation_component::generation_component(const generation::generation_settings& settings,
                                           std::shared_ptr<const chart::chart> definition,
                                           std::unique_ptr<routing::target_chooser> chooser,
                                           senders& out, generation::generation_policies policies)
    : out_{out}, chooser_{std::move(chooser)}, manager_{settings, std::move(definition), *chooser_,
                                                        *this, std::move(policies)}
{
}

void generation_component::on_configuration(const model::configuration_ptr& configuration,
                                            core::instant /*now*/)
{
    manager_.configure(configuration);
}

void generation_component::on_message(const decision_message& message, core::instant now)
{
    if (const auto* engine = std::get_if<api::engine_event>(&message)) {
        manager_.on_engine_event(*engine, now);
        return;
    }
    const auto* front = std::get_if<api::front_event>(&message);
    if (front == nullptr) {
        return;
    }
    if (const auto* request = std::get_if<api::generation_request>(front)) {
        manager_.on_request(*request, now);
    }
    else if (const auto* gone = std::get_if<api::caller_gone>(front)) {
        manager_.on_caller_gone(gone->caller, now);
    }
}

std::optional<core::instant> generation_component::next_deadline() const
{
    return manager_.next_deadline();
}

void generation_component::on_timer(core::instant now)
{
    manager_.on_timer(now);
}

void generation_component::send(api::engine_command command)
{
    out_.back.send(std::move(command));
}

void generation_component::send(api::front_command command)
{
    out_.front.send(std::move(command));
}

} // namespace cyclamen::instance
