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

/// Time limits and intervals of the lease.
struct lease_settings {
    /// How long the lease lasts, counted from when the holder sent the write that took or renewed
    /// it.
    core::duration length = std::chrono::seconds{10};
    /// Interval at which the holder renews the lease.
    core::duration renew_interval = std::chrono::seconds{3};
    /// Interval at which other instances read the row of the lease.
    core::duration poll_interval = std::chrono::seconds{2};
    /// Time limit for the answer to the write that takes the lease.
    core::duration answer_limit = std::chrono::seconds{2};

    auto operator<=>(const lease_settings&) const = default;
};

/// Callbacks of lease, implemented by its owner. Called on the decision task.
class lease_host {
  public:
    virtual ~lease_host() = default;

    /// Sends a command to the table service; its answer is passed to lease::on_table_event().
    virtual void send(api::table_command command) = 0;

    /// @return number for the next request to the table service
    virtual api::table_request next_request() = 0;
};

/// The lease that allows its holder to send orders to engines, as one instance sees it. Clocks of
/// different hosts are never compared: the holder counts the length of the lease from when it sent
/// its write, the other instances from when they first read the row in its present version, which
/// is later. Opens no socket and reads no clock.
class lease final : private chart::machine_host {
  public:
    /// @param settings time limits and intervals
    /// @param self holder and incarnation that this instance writes into the row; the fence is
    /// unused
    /// @param key name of the row of the lease
    /// @param definition the chart `lease`
    /// @param host sends the table commands; outlives this object
    lease(lease_settings settings, lease_row self, api::row_key key,
          std::shared_ptr<const chart::chart> definition, lease_host& host);

    /// Starts to compete for the lease.
    void start(core::instant now);
    /// Ends the use of the lease. The row stays and lapses by itself.
    void stop(core::instant now);
    /// Handles an answer of the table service; answers to superseded requests are ignored.
    void on_table_event(const api::table_event& event, core::instant now);
    void on_timer(core::instant now);
    [[nodiscard]] std::optional<core::instant> next_deadline() const;

    /// @param checks_fencing true if the target rejects outdated fencing numbers
    /// @return instant before which an order to such a target must be sent, empty if none may be
    /// sent. For a target that does not check, half of the lease is reserved for process pauses and
    /// transmission delay.
    [[nodiscard]] std::optional<core::instant> order_deadline(bool checks_fencing,
                                                              core::instant now) const;

    /// @return fencing number of the lease that was held last
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
    // The row as it was last read or written, and the instant since which it has been unchanged.
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
