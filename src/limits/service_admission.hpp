#pragma once

#include <map>
#include <set>
#include <string>

#include "limits/admission_policy.hpp"
#include "limits/admission_settings.hpp"
#include "limits/fleet_observer.hpp"
#include "model/client_account.hpp"

namespace cyclamen::limits {

/// Admission to one service: its waiting and open requests by account, and the part of the service
/// capacity that this instance may use. Owned by share_admission.
class service_admission {
  public:
    /// Declared client accounts by name.
    using account_table = std::map<core::account_name, model::client_account>;
    /// Number of open and waiting requests by account; accounts without any are left out.
    using demand_table = std::map<core::account_name, std::uint64_t>;

    /// @param settings limits; outlive this object
    /// @param declared the accounts with their shares; outlive this object
    service_admission(const admission_settings& settings, const account_table& declared)
        : settings_{settings}, declared_{declared}
    {
    }

    /// @param requests how many requests the targets serve at full speed; unlimited until set
    void set_capacity(double requests) { capacity_ = requests; }
    void set_instance_count(std::uint32_t instance_count) { instance_count_ = instance_count; }

    /// Replaces the reported demand of one peer.
    void set_peer_demand(const core::instance_name& peer, demand_table demand, core::instant now);

    [[nodiscard]] std::optional<core::failure> offer(const admission_request& request,
                                                     core::instant now);
    void release(std::vector<core::generation_id>& started, std::vector<late_refusal>& refused,
                 core::instant now);
    void on_ended(core::generation_id id, bool complete, core::instant now);

    [[nodiscard]] bool has_waiting() const { return !waiting_.empty(); }
    [[nodiscard]] std::size_t open_count() const { return open_.size(); }
    [[nodiscard]] std::size_t waiting_count() const { return waiting_.size(); }
    /// Appends the demand of each account at this instance.
    void append_demand(const core::service_name& service, std::vector<account_demand>& to) const;

  private:
    struct account_state {
        std::uint32_t priority = 0;
        std::uint32_t open = 0;
        /// How many requests of the account this instance may have open.
        double share = 0.0;
        /// Earliest deadline first.
        std::set<std::pair<core::instant, core::generation_id>> waiting;

        [[nodiscard]] std::uint32_t request_count() const
        {
            return open + static_cast<std::uint32_t>(waiting.size());
        }
    };

    struct open_request {
        core::account_name account;
        std::uint64_t tokens;
        core::instant started_at;
    };

    struct waiting_request {
        core::account_name account;
        std::uint64_t tokens;
        core::instant deadline;
    };

    struct peer_state {
        demand_table demand;
        core::instant received_at;
    };

    using account_entry = std::pair<const core::account_name, account_state>;

    const admission_settings& settings_;
    const account_table& declared_;
    std::optional<double> capacity_;
    std::uint32_t instance_count_ = 0;
    std::map<core::account_name, account_state> accounts_;
    std::map<core::generation_id, open_request> open_;
    std::map<core::generation_id, waiting_request> waiting_;
    std::map<core::instance_name, peer_state> peers_;
    /// Sums over all peers with a valid report.
    std::map<core::account_name, std::uint64_t> peer_demand_;
    std::uint64_t peer_request_count_ = 0;
    /// Maximum number of open requests at this instance: the sum of the shares, capped by
    /// max_open().
    double limit_ = 0.0;
    /// False if nothing changed since the last release() that could let a request start.
    bool has_changes_ = false;
    core::instant shares_updated_at_{core::duration::min()};
    /// Exponential moving averages over completed requests; zero before the first.
    double seconds_per_token_ = 0.0;
    double seconds_per_request_ = 0.0;

    [[nodiscard]] double instance_count() const;
    [[nodiscard]] double capacity() const;
    /// @return maximum number of open requests at this instance, whatever its peers report
    [[nodiscard]] double max_open() const;
    /// @return true if the capacity covers the estimated demand of all instances
    [[nodiscard]] bool is_underloaded() const;
    /// Recomputes the shares of the accounts and the limit of this instance.
    void update_shares(core::instant now);
    void expire_peers(core::instant now);
    [[nodiscard]] double weight_of(const core::account_name& account) const;
    /// @return factor that extrapolates the known demand to all instances: those that don't report
    /// are assumed to have as much demand as those that do
    [[nodiscard]] double unreported_demand_factor() const;
    void forget_peer(const core::instance_name& peer);
    /// @return estimated duration of a request, including the safety factor
    [[nodiscard]] core::duration estimate_duration(std::uint64_t tokens) const;
    /// @return estimated wait of a new request of an account, zero if it may start now
    [[nodiscard]] core::duration estimate_wait(const account_state& account) const;
    [[nodiscard]] bool may_start(const account_state& account) const;
    /// @return the account whose next request starts first, null if none may start
    [[nodiscard]] account_entry* next_account_to_start();
    /// Refuses the waiting requests of an account that would miss their deadline.
    void refuse_late(account_state& account, std::vector<late_refusal>& refused, core::instant now);
    void start_first(account_entry& from, std::vector<core::generation_id>& started,
                     core::instant now);
    void erase_if_idle(const core::account_name& account);
    [[nodiscard]] core::failure refusal(core::duration wait, std::string_view problem) const;
};

} // namespace cyclamen::limits
