#pragma once

#include <memory>
#include <string>

#include "call/call_manager.hpp"
#include "call/table_claim_store.hpp"
#include "instance/component.hpp"
#include "instance/senders.hpp"
#include "routing/target_chooser.hpp"
#include "table/table_client.hpp"

namespace cyclamen::instance {

/// Connects the call manager to callers, plain services and the table service.
class call_component final : public component,
                             private call::call_output,
                             private table::restore_listener {
  public:
    /// @param settings limits of calls
    /// @param origin unique name of this incarnation of this instance, see make_origin()
    /// @param definition the chart `call`
    /// @param chooser chooses the target of a call
    /// @param table client of the table service; must outlive this object
    /// @param out senders to the tasks that own sockets; must outlive this object
    call_component(const call::call_settings& settings, std::string origin,
                   std::shared_ptr<const chart::chart> definition,
                   std::unique_ptr<routing::target_chooser> chooser, table::table_client& table,
                   senders& out);

    /// @return a name that is unique among all incarnations of all instances
    [[nodiscard]] static std::string make_origin(const core::instance_name& instance);

    void on_configuration(const model::configuration_ptr& configuration,
                          core::instant now) override;
    void on_message(const decision_message& message, core::instant now) override;
    [[nodiscard]] std::optional<core::instant> next_deadline() const override;
    void on_timer(core::instant now) override;

    [[nodiscard]] const call::call_manager& manager() const { return manager_; }

    /// @return the metrics of calls and of the table client as text
    [[nodiscard]] std::string metrics() const;

  private:
    senders& out_;
    table::table_client& table_;
    std::unique_ptr<routing::target_chooser> chooser_;
    call::table_claim_store store_;
    call::call_manager manager_;

    void on_table_restored(core::instant now) override { manager_.on_store_restored(now); }
    void send(api::service_command command) override;
    void send(api::call_answer answer) override;
    void send(api::call_failed failed) override;
};

} // namespace cyclamen::instance
