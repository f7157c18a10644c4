#pragma once

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "config/configuration_tracker.hpp"
#include "config/operator_account.hpp"
#include "instance/component.hpp"
#include "instance/knowledge_source.hpp"
#include "instance/membership_component.hpp"
#include "instance/operator_session.hpp"
#include "instance/senders.hpp"

namespace cyclamen::instance {

/// Settings of config_component.
struct config_component_settings {
    const core::instance_name name;
    const core::incarnation incarnation;
    /// False for an instance that runs only on the declarations in its settings.
    const bool has_table;
    const std::vector<config::operator_account> operators;
};

/// Connects the tracking of the configuration to the table, peers and operators.
class config_component final : public component,
                               public knowledge_source,
                               private config::tracker_host,
                               private table::table_listener,
                               private session_host {
  public:
    /// Puts a configuration into force in all components.
    using activator = std::function<void(model::configuration_ptr)>;

    /// @param settings settings of this component
    /// @param write_chart the chart `configuration_write`
    /// @param codec encodes and decodes the rows of revisions
    /// @param table client of the table service; must outlive this object
    /// @param members membership of this instance; must outlive this object
    /// @param out senders to the tasks that own sockets; must outlive this object
    /// @param activate puts a configuration into force in all components
    config_component(config_component_settings settings,
                     std::shared_ptr<const chart::chart> write_chart,
                     std::unique_ptr<config::revision_codec> codec, table::table_client& table,
                     membership_component& members, senders& out, activator activate);

    void on_start(core::instant now) override;
    void on_message(const decision_message& message, core::instant now) override;
    [[nodiscard]] std::optional<core::instant> next_deadline() const override;
    void on_timer(core::instant now) override;

    [[nodiscard]] api::configuration_knowledge knowledge(core::instant now) const override;
    void on_peer_knowledge(const api::peer_identity& from,
                           const api::configuration_knowledge& reported,
                           std::optional<core::instant> not_before, core::instant now) override;
    void paused(core::duration length, core::instant now) override;

  private:
    /// A status request of an operator that waits for the reports of the other instances.
    struct status_query {
        const core::caller_id caller;
        const core::instant deadline;
        std::map<core::instance_name, api::configuration_knowledge> reports;
    };

    const config_component_settings settings_;
    const std::shared_ptr<const chart::chart> write_chart_;
    const std::unique_ptr<config::revision_codec> codec_;
    table::table_client& table_;
    membership_component& members_;
    senders& out_;
    const activator activate_;
    config::configuration_tracker tracker_;
    std::vector<std::unique_ptr<operator_session>> sessions_;
    std::map<std::uint64_t, status_query> status_queries_;
    std::uint64_t last_number_ = 0;

    void on_peer_message(const api::peer_received& received, core::instant now);
    void on_operator_request(const api::operator_request& request, core::instant now);
    void handle(const api::configuration_apply& request, core::instant now);
    void handle(const api::configuration_rollback& request, core::instant now);
    void handle(const api::configuration_get& request, core::instant now);
    void handle(const api::configuration_history& request, core::instant now);
    void handle(const api::configuration_status& request, core::instant now);
    [[nodiscard]] std::optional<config::operator_account>
    authorize(core::caller_id caller, const std::string& bearer, bool applying);
    void start_session(std::unique_ptr<operator_session> session, core::instant now);
    [[nodiscard]] std::string next_nonce();
    void answer_status(const status_query& query, core::instant now);
    void after_event(core::instant now);
    [[nodiscard]] session_host& as_session_host() { return *this; }

    api::table_request read(std::vector<api::row_key> rows) override;
    void commit(std::vector<api::row_write> writes, core::instant now) override;
    void send(const api::peer_identity& to, api::peer_message message) override;
    void send_to_random_peers(std::size_t count, api::peer_message message) override;
    void put_in_force(const model::configuration_ptr& configuration, core::instant now) override;
    void hold_work(bool held, core::instant now) override;

    void on_table_answer(const api::table_event& answer, core::instant now) override;

    void answer(api::operator_answer answer) override;
    void take_over(const api::configuration_copy& accepted, core::instant now) override;
    [[nodiscard]] api::configuration_position in_force() const override
    {
        return tracker_.position();
    }
    [[nodiscard]] table::table_client& table() override { return table_; }
    [[nodiscard]] const config::revision_codec& codec() const override { return *codec_; }
    [[nodiscard]] std::shared_ptr<const chart::chart> write_chart() const override
    {
        return write_chart_;
    }
};

} // namespace cyclamen::instance
