#include "instance/platform_component.hpp"

namespace cyclamen::instance {

platform_component::platform_component(table::table_client_settings settings, senders& out)
    : table_{settings,
             [&out](api::table_command command) { out.platform.send(std::move(command)); }}
{
}

void platform_component::on_message(const decision_message& message, core::instant now)
{
    if (const auto* event = std::get_if<api::table_event>(&message)) {
        table_.on_event(*event, now);
    }
}

std::optional<core::instant> platform_component::next_due() const
{
    return table_.next_deadline();
}

void platform_component::on_time(core::instant now)
{
    table_.on_timer(now);
}

} // namespace cyclamen::instance
