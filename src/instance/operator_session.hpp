#pragma once

#include <memory>
#include <optional>

#include "api/operator_messages.hpp"
#include "config/configuration_write.hpp"
#include "instance/component.hpp"
#include "table/table_client.hpp"

namespace cyclamen::instance {

/// Callbacks of operator_session, implemented by its owner. Called on the decision task.
class session_host {
  public:
    virtual ~session_host() = default;

    /// Sends an answer to an operator.
    virtual void answer(api::operator_answer answer) = 0;

    /// Takes over a configuration that was read from the table as the accepted one.
    virtual void take_over(const api::configuration_copy& accepted, core::instant now) = 0;

    /// @return position of the configuration in force
    [[nodiscard]] virtual api::configuration_position in_force() const = 0;
    /// @return client of the table service
    [[nodiscard]] virtual table::table_client& table() = 0;
    /// @return codec of the rows of revisions
    [[nodiscard]] virtual const config::revision_codec& codec() const = 0;
    /// @return the chart `configuration_write`
    [[nodiscard]] virtual std::shared_ptr<const chart::chart> write_chart() const = 0;
};

/// A request of an operator that needs the table. It must not be destroyed before it has been
/// answered and the table client has answered all of its table requests.
class operator_session : public table::table_listener {
  public:
    /// @param caller the operator's connection, which receives the answer
    /// @param host receives the callbacks; must outlive this object
    operator_session(core::caller_id caller, session_host& host) : caller_{caller}, host_{host} {}

    /// Sends the first table request.
    virtual void start(core::instant now) = 0;

    /// @return when on_timer() must be called next; empty if no timer is pending
    [[nodiscard]] virtual std::optional<core::instant> next_deadline() const
    {
        return std::nullopt;
    }

    /// Runs the timers whose deadline has passed.
    virtual void on_timer(core::instant /*now*/) {}

    /// @return true if the session may be destroyed
    [[nodiscard]] bool is_over() const { return open_requests_ == 0 && is_answered(); }

    void on_table_answer(const api::table_event& answer, core::instant now) final;

  protected:
    [[nodiscard]] virtual bool is_answered() const { return open_requests_ == 0; }
    virtual void on_answer(const api::table_event& answer, core::instant now) = 0;

    [[nodiscard]] core::caller_id caller() const { return caller_; }
    [[nodiscard]] session_host& host() { return host_; }
    [[nodiscard]] const session_host& host() const { return host_; }

    api::table_request read(std::vector<api::row_key> rows);
    api::table_request commit(std::vector<api::row_write> writes, core::instant now);
    api::table_request scan(std::string table, std::string prefix);
    void refuse(const absl::Status& reason);

  private:
    const core::caller_id caller_;
    session_host& host_;
    std::size_t open_requests_ = 0;
};

/// Applies new declarations, or the declarations of an earlier revision.
class apply_session final : public operator_session, private config::write_host {
  public:
    /// @param caller the operator's connection, which receives the answer
    /// @param host receives the callbacks; must outlive this object
    /// @param proposal what to apply; its declarations are ignored if `source` is set
    /// @param source the earlier revision whose declarations are applied; empty for those of
    /// `proposal`
    apply_session(core::caller_id caller, session_host& host, config::proposal proposal,
                  std::optional<core::revision> source);

    void start(core::instant now) override;
    [[nodiscard]] std::optional<core::instant> next_deadline() const override;
    void on_timer(core::instant now) override;

  private:
    const config::proposal proposal_;
    const std::optional<core::revision> source_;
    std::unique_ptr<config::configuration_write> write_;
    bool refused_ = false;
    core::instant now_;

    [[nodiscard]] bool is_answered() const override;
    void on_answer(const api::table_event& answer, core::instant now) override;
    void begin_write(const std::string& declarations);

    api::table_request read(std::vector<api::row_key> rows) override;
    api::table_request commit(std::vector<api::row_write> writes) override;
    void take_over(const api::configuration_copy& accepted) override;
    void accepted(const api::configuration_copy& accepted) override;
    void refused(const core::failure& reason) override;
    [[nodiscard]] api::configuration_position in_force() const override;
    [[nodiscard]] core::wall_time wall() const override;
};

/// Lists the accepted revisions, newest first. Unreadable rows are left out.
class history_session final : public operator_session {
  public:
    using operator_session::operator_session;

    void start(core::instant now) override;

  private:
    void on_answer(const api::table_event& answer, core::instant now) override;
};

} // namespace cyclamen::instance
