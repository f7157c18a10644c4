#include "instance/table_component.hpp"

namespace cyclamen::instance {

table_component::table_component(table::table_client_settings settings, senders& out)
    : table_{settings, [&out](api::table_command command) { out.table.send(std::move(command)); }}
{
}

void table_component::on_message(const decision_message& message, core::instant now)
{
    if (const auto* event = std::get_if<api::table_event>(&message)) {
        table_.on_event(*event, now);
    }
}

std::optional<core::instant> table_component::next_deadline() const
{
    return table_.next_deadline();
}

void table_component::on_timer(core::instant now)
{
    table_.on_timer(now);
}

} // namespace cyclamen::instance
