#pragma once

#include "instance/component.hpp"
#include "instance/senders.hpp"
#include "table/table_client.hpp"

namespace cyclamen::instance {

/// Connects the table client, which other components use, to the table task.
class table_component final : public component {
  public:
    /// @param settings how commits are batched
    /// @param out senders, of which the one to the table task is used; must outlive this object
    table_component(table::table_client_settings settings, senders& out);

    /// @return the client for the other components; valid as long as this object
    [[nodiscard]] table::table_client& table() { return table_; }

    void on_message(const decision_message& message, core::instant now) override;
    [[nodiscard]] std::optional<core::instant> next_deadline() const override;
    void on_timer(core::instant now) override;

  private:
    table::table_client table_;
};

} // namespace cyclamen::instance
