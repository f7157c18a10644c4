#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "api/table_messages.hpp"
#include "chart/machine.hpp"
#include "core/time.hpp"
#include "lease/lease_chart.hpp"
#include "lease/lease_row.hpp"

namespace cyclamen::lease {

/// Times of the lease.
struct lease_settings {
    /// How long a holder may act after it sent the write that gave it the lease.
    core::duration length = std::chrono::seconds{10};
    /// How often the holder renews it.
    core::duration renew_interval = std::chrono::seconds{3};
    /// How often others read its row.
    core::duration poll_interval = std::chrono::seconds{2};
    /// How long an answer of the table is waited for.
    core::duration answer_limit = std::chrono::seconds{2};

    auto operator<=>(const lease_settings&) const = default;
};

/// What the lease needs from its owner. Called on the decision task.
class lease_host {
  public:
    virtual ~lease_host() = default;

    virtual void send(api::table_command command) = 0;

    /// @return the number for the next request to the table
    virtual api::table_request next_request() = 0;
};

/// The lease to order engines, as one instance sees it. It compares no clocks of different
/// machines: a holder counts from when it sent its write, the others from when they first saw the
/// row unchanged, which is later. Opens no socket and reads no clock.
class lease final : private chart::actor {
  public:
    /// @param self contents of the row when this instance holds it; its fence is not used
    /// @param key the row of the lease
    /// @param definition the chart `lease`
    lease(lease_settings settings, lease_row self, api::row_key key,
          std::shared_ptr<const chart::chart> definition, lease_host& host);

    void start(core::instant now);
    void stop(core::instant now);
    void on_table_event(const api::table_event& event, core::instant now);
    void on_timer(core::instant now);
    [[nodiscard]] std::optional<core::instant> next_deadline() const;

    /// @param checks_fencing whether the target refuses old fencing numbers
    /// @return until when an order to such a target may be sent, empty where none may. For a
    /// target that doesn't check, half of the lease is kept for pauses and for the way.
    [[nodiscard]] std::optional<core::instant> order_deadline(bool checks_fencing,
                                                              core::instant now) const;

    /// @return number of the lease held last
    [[nodiscard]] fencing_number fence() const { return fence_; }
    [[nodiscard]] const std::string& state_name() const { return machine_.state_name(); }

  private:
    const lease_settings settings_;
    const lease_row self_;
    const api::row_key key_;
    lease_host& host_;
    chart::machine machine_;
    std::map<lease_event, core::instant> timers_;
    core::instant now_{};
    std::optional<api::table_request> pending_read_;
    std::optional<api::table_request> pending_write_;
    core::instant write_sent_at_{};
    core::instant lease_start_{};
    bool orders_allowed_ = false;
    fencing_number fence_;
    fencing_number claimed_fence_;
    // The row as it was read last, and since when it has been unchanged.
    api::row_version row_version_;
    std::optional<lease_row> row_;
    core::instant row_unchanged_since_{};
    bool has_read_row_ = false;

    void raise(lease_event event);
    void on_rows(const api::table_rows& answer);
    void record_row(api::row_version version, const std::string& value);
    void write(fencing_number fence);
    [[nodiscard]] bool is_own_row() const;
    [[nodiscard]] bool has_lapsed() const;

    [[nodiscard]] bool holds(chart::symbol guard) const override;
    void perform(chart::symbol action) override;
    void start_timer(chart::state_timeout timeout) override;
    void stop_timer(chart::state_timeout timeout) override;
};

} // namespace cyclamen::lease
