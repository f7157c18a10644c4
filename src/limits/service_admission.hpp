#pragma once

#include <map>
#include <set>
#include <string>

#include "limits/admission_policy.hpp"
#include "limits/admission_settings.hpp"
#include "limits/fleet_observer.hpp"
#include "model/client_account.hpp"

namespace cyclamen::limits {

/// Admission to one service: its waiting and open work by account, and what part of the service
/// this instance takes. Owned by share_admission.
class service_admission {
  public:
    /// The client accounts that are declared.
    using account_table = std::map<core::account_name, model::client_account>;
    /// Open and waiting work by account, without accounts that have none.
    using demand_table = std::map<core::account_name, std::uint64_t>;

    /// @param settings limits; outlive this
    /// @param declared the accounts with their shares; outlive this
    service_admission(const admission_settings& settings, const account_table& declared)
        : settings_{settings}, declared_{declared}
    {
    }

    /// @param requests how many requests the targets carry; unlimited until it is said
    void set_capacity(double requests) { capacity_ = requests; }
    void set_instance_count(std::uint32_t instance_count) { instance_count_ = instance_count; }

    /// Replaces what one peer has open or waiting.
    void set_peer_demand(const core::instance_name& peer, demand_table demand, core::instant now);

    [[nodiscard]] std::optional<core::failure> offer(const admission_request& request,
                                                     core::instant now);
    void release(std::vector<core::generation_id>& started, std::vector<late_refusal>& refused,
                 core::instant now);
    void on_ended(core::generation_id id, bool complete, core::instant now);

    [[nodiscard]] bool has_waiting() const { return !waiting_.empty(); }
    [[nodiscard]] std::size_t open_count() const { return open_.size(); }
    [[nodiscard]] std::size_t waiting_count() const { return waiting_.size(); }
    void append_demand(const core::service_name& service, std::vector<account_demand>& to) const;

  private:
    struct account_state {
        std::uint32_t priority = 0;
        std::uint32_t open = 0;
        /// What this instance may have open of the account.
        double share = 0.0;
        /// Nearest deadline first.
        std::set<std::pair<core::instant, core::generation_id>> waiting;

        [[nodiscard]] std::uint32_t request_count() const
        {
            return open + static_cast<std::uint32_t>(waiting.size());
        }
    };

    struct open_work {
        core::account_name account;
        std::uint64_t tokens;
        core::instant started_at;
    };

    struct waiting_work {
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
    std::map<core::generation_id, open_work> open_;
    std::map<core::generation_id, waiting_work> waiting_;
    std::map<core::instance_name, peer_state> peers_;
    /// Sums over the peers.
    std::map<core::account_name, std::uint64_t> peer_demand_;
    std::uint64_t peer_request_count_ = 0;
    double limit_ = 0.0;
    /// False where release() has nothing to do until something changes.
    bool has_changes_ = false;
    core::instant shares_updated_at_{core::duration::min()};
    /// Means over ended work, new values weighing most; zero before the first.
    double seconds_per_token_ = 0.0;
    double seconds_per_request_ = 0.0;

    [[nodiscard]] double instance_count() const;
    [[nodiscard]] double capacity() const;
    /// @return what this instance may have open at most, whatever its peers report
    [[nodiscard]] double max_open() const;
    /// @return true where the capacity is enough for all that the fleet wants
    [[nodiscard]] bool is_underloaded() const;
    void update_shares(core::instant now);
    void expire_peers(core::instant now);
    [[nodiscard]] double weight_of(const core::account_name& account) const;
    /// @return by what to multiply what is known, since instances that say nothing are taken to
    /// want as much as those that do
    [[nodiscard]] double unreported_demand_factor() const;
    void forget_peer(const core::instance_name& peer);
    [[nodiscard]] core::duration estimate_duration(std::uint64_t tokens) const;
    [[nodiscard]] core::duration estimate_wait(const account_state& account) const;
    [[nodiscard]] bool may_start(const account_state& account) const;
    [[nodiscard]] account_entry* next_account_to_start();
    void refuse_late(account_state& account, std::vector<late_refusal>& refused, core::instant now);
    void start_first(account_entry& from, std::vector<core::generation_id>& started,
                     core::instant now);
    void erase_if_idle(const core::account_name& account);
    [[nodiscard]] core::failure refusal(core::duration wait, std::string_view problem) const;
};

} // namespace cyclamen::limits
