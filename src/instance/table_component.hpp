#pragma once

#include "instance/component.hpp"
#include "instance/senders.hpp"
#include "table/table_client.hpp"

namespace cyclamen::instance {

/// Connects the table client, which other components use, with the platform task.
class table_component final : public component {
  public:
    /// @param settings how commits are gathered
    /// @param out reaches the platform task
    table_component(table::table_client_settings settings, senders& out);

    /// @return how other components reach the table service
    [[nodiscard]] table::table_client& table() { return table_; }

    void on_message(const decision_message& message, core::instant now) override;
    [[nodiscard]] std::optional<core::instant> next_deadline() const override;
    void on_timer(core::instant now) override;

  private:
    table::table_client table_;
};

} // namespace cyclamen::instance
