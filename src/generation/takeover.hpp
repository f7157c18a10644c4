#pragma once

#include <memory>
#include <optional>
#include <set>

#include "chart/machine.hpp"
#include "generation/checkpoint_chart.hpp"
#include "generation/checkpoint_settings.hpp"
#include "generation/lineage.hpp"

namespace cyclamen::generation {

/// Result of a search that found a checkpoint.
struct found_checkpoint {
    /// Epoch of the owner.
    const api::checkpoint_epoch epoch;
    /// True if this instance is now the owner; false if another one is, or if the answer is
    /// complete.
    const bool taken;
    const api::checkpoint state;

    auto operator<=>(const found_checkpoint&) const = default;
};

/// How much of an answer a caller has received.
struct caller_position {
    /// Branch of the last token that it received, empty if unknown.
    const std::string branch;
    const std::uint64_t held;

    auto operator<=>(const caller_position&) const = default;
};

/// Callbacks of takeover, implemented by its owner. Called on the decision task.
class takeover_host {
  public:
    virtual ~takeover_host() = default;

    /// Sends a fetch request to a peer.
    virtual void send_fetch(const api::checkpoint_party& peer,
                            const api::checkpoint_fetch& message) = 0;

    /// A peer has not replied within the time limit.
    virtual void on_unresponsive(const api::checkpoint_party& peer) = 0;

    /// The search has ended.
    virtual void on_search_ended(const api::checkpoint_key& key,
                                 std::optional<found_checkpoint> found) = 0;
};

/// Searches peers for the checkpoint of one generation and, if no live owner has it, takes the
/// generation over. The chart `takeover` determines the transitions; this class implements its
/// guards and actions.
class takeover final : private chart::machine_host {
  public:
    /// @param own_name name of this instance
    /// @param request number that identifies the search in messages
    /// @param key identifies the generation
    /// @param position the caller's position; a checkpoint that covers it is preferred
    /// @param queried all peers to query
    /// @param pending those of them whose reply is waited for
    /// @param definition the chart `takeover`
    /// @param host callbacks; outlives this object
    takeover(core::instance_name own_name, std::uint64_t request, api::checkpoint_key key,
             caller_position position, std::set<api::checkpoint_party> queried,
             std::set<api::checkpoint_party> pending,
             std::shared_ptr<const chart::chart> definition, takeover_host& host);

    /// Queries the peers. Called once.
    void start();

    void on_fetched(const api::checkpoint_party& from, const api::checkpoint_fetched& answer);

    /// The time limit for replies has passed.
    void on_answer_timeout();

    [[nodiscard]] bool is_over() const { return machine_.is_final(); }
    [[nodiscard]] std::uint64_t request() const { return request_; }

  private:
    /// An owner and its epoch. Of two owners that have sent nothing yet, the greater claim wins.
    using claim = std::pair<api::checkpoint_epoch, core::instance_name>;

    const core::instance_name own_name_;
    const std::uint64_t request_;
    const api::checkpoint_key key_;
    const caller_position position_;
    const std::set<api::checkpoint_party> queried_;
    std::set<api::checkpoint_party> pending_;
    takeover_host& host_;
    chart::machine machine_;
    std::unique_ptr<const api::checkpoint_fetched> best_answer_;
    /// Greatest claim that was granted to this instance.
    std::optional<claim> granted_claim_;
    /// Greatest claim that was granted to another instance that has sent nothing yet.
    std::optional<claim> competing_claim_;
    bool owner_is_live_ = false;
    const api::checkpoint_fetched* answer_ = nullptr;

    [[nodiscard]] bool holds(chart::symbol guard) const override;
    void perform(chart::symbol action) override;
    void start_timer(chart::state_timeout /*timeout*/) override {}
    void stop_timer(chart::state_timeout /*timeout*/) override {}

    void note_answer();
    [[nodiscard]] std::optional<found_checkpoint> result() const;
    [[nodiscard]] bool wins_ownership() const;
};

} // namespace cyclamen::generation
