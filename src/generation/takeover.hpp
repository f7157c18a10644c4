#pragma once

#include <memory>
#include <optional>
#include <set>

#include "chart/machine.hpp"
#include "generation/checkpoint_chart.hpp"
#include "generation/checkpoint_settings.hpp"
#include "generation/lineage.hpp"

namespace cyclamen::generation {

/// What a successor found.
struct found_checkpoint {
    /// Epoch of the owner.
    const api::checkpoint_epoch epoch;
    /// True where this instance is the owner now; false where another one goes on, or the answer is
    /// whole.
    const bool taken;
    const api::checkpoint state;

    auto operator<=>(const found_checkpoint&) const = default;
};

/// What a caller has of an answer.
struct caller_position {
    /// Branch under which it got its last token, empty where it doesn't say.
    const std::string branch;
    const std::uint64_t held;

    auto operator<=>(const caller_position&) const = default;
};

/// What a takeover asks of its owner. Called on the decision task.
class takeover_host {
  public:
    virtual ~takeover_host() = default;

    /// Asks a peer for what it holds.
    virtual void send_fetch(const api::checkpoint_party& peer,
                            const api::checkpoint_fetch& message) = 0;

    /// A peer has not answered in time.
    virtual void on_unresponsive(const api::checkpoint_party& peer) = 0;

    /// The search has ended.
    virtual void on_search_ended(const api::checkpoint_key& key,
                                 std::optional<found_checkpoint> found) = 0;
};

/// Looks for what peers hold of one generation. The chart `takeover` decides; this class performs.
class takeover final : private chart::actor {
  public:
    /// @param own name of this instance
    /// @param request number of the search
    /// @param key the generation
    /// @param wanted what the caller has: a checkpoint that covers it is preferred
    /// @param asked all peers to ask
    /// @param awaited those of them whose answer is waited for
    /// @param definition the chart `takeover`
    /// @param host where messages go; outlives this object
    takeover(core::instance_name own_name, std::uint64_t request, api::checkpoint_key key,
             caller_position position, std::set<api::checkpoint_party> queried,
             std::set<api::checkpoint_party> pending,
             std::shared_ptr<const chart::chart> definition, takeover_host& host);

    /// Asks the peers. Called once.
    void start();

    void on_fetched(const api::checkpoint_party& from, const api::checkpoint_fetched& answer);

    /// The limit has passed.
    void on_answer_timeout();

    [[nodiscard]] bool is_over() const { return machine_.is_final(); }
    [[nodiscard]] std::uint64_t request() const { return request_; }

  private:
    /// An owner and its epoch; of two that nobody has heard from the greater one goes on.
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
    /// What this instance was granted.
    std::optional<claim> granted_claim_;
    /// What another instance was granted, which has sent nothing yet.
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
