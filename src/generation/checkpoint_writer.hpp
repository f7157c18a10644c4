#pragma once

#include <memory>
#include <optional>
#include <set>

#include "chart/machine.hpp"
#include "generation/checkpoint_chart.hpp"
#include "generation/checkpoint_holder.hpp"
#include "generation/checkpoint_settings.hpp"
#include "generation/journal.hpp"
#include "generation/lineage.hpp"
#include "generation/peer_directory.hpp"

namespace cyclamen::generation {

/// Callbacks of checkpoint_writer, implemented by its owner. Called on the decision task.
class checkpoint_writer_host {
  public:
    virtual ~checkpoint_writer_host() = default;
    virtual void send(const api::checkpoint_party& to, api::checkpoint_message message) = 0;

    /// @return the other instances that are live now
    [[nodiscard]] virtual const peer_directory& directory() const = 0;

    /// More tokens of the generation may be delivered to its streaming callers.
    virtual void on_released(core::generation_id id) = 0;

    /// Another instance has taken the generation over.
    virtual void on_superseded(core::generation_id id) = 0;

    /// No holder is available: the generation continues without a copy.
    virtual void on_unprotected(core::generation_id id) = 0;
};

/// Properties of a checkpoint that are constant while one instance owns the generation.
struct checkpoint_plan {
    const core::generation_id id;
    const api::checkpoint_key key;
    const api::checkpoint_epoch epoch;
    const core::version_name version;
    const std::uint64_t request_hash;
    const lineage origin;

    auto operator<=>(const checkpoint_plan&) const = default;
};

/// Keeps a copy of one generation at a peer and tracks which tokens that peer holds. The chart
/// `checkpoint` determines the transitions; this class implements its guards and actions.
class checkpoint_writer final : private chart::machine_host {
  public:
    /// @param plan identity and origin of the generation
    /// @param tokens journal of the generation; outlives this object
    /// @param released number of tokens that the previous owner's holder has; they may be delivered
    ///        to callers at once
    /// @param settings time limits and bounds; outlives this object
    /// @param definition the chart `checkpoint`
    /// @param host callbacks; outlives this object
    checkpoint_writer(checkpoint_plan plan, const journal& tokens, std::uint64_t released,
                      const checkpoint_settings& settings,
                      std::shared_ptr<const chart::chart> definition, checkpoint_writer_host& host);

    /// Opens the checkpoint at the preferred holder. Called once.
    void start(core::instant now);

    /// The answer of the generation is complete.
    void finish() { finished_ = true; }

    /// Uses the shorter flush period from now on, because a caller streams the answer.
    void enable_streaming() { streaming_ = true; }

    /// @return the next run to send to the holder, which is empty of tokens if it is only a
    ///         heartbeat; nullopt if no run is due
    [[nodiscard]] std::optional<api::checkpoint_run> take_run(core::instant now);

    /// @return the current holder, empty if there is none
    [[nodiscard]] const std::optional<api::checkpoint_party>& holder() const { return holder_; }

    void on_held(const api::checkpoint_party& from, const api::checkpoint_held& held,
                 core::instant now);
    void on_superseded(const api::checkpoint_superseded& message);
    void on_unknown(const api::checkpoint_party& from, const api::checkpoint_unknown& message,
                    core::instant now);
    void on_peers_changed(core::instant now);
    void on_timer(core::instant now);

    /// @return when on_timer() or take_run() is to be called next, empty if nothing is scheduled
    [[nodiscard]] std::optional<core::instant> next_deadline() const;

    /// @return how many tokens may be delivered to streaming callers, empty if all may
    [[nodiscard]] std::optional<std::uint64_t> released() const;

    /// Releases all tokens without waiting for a holder.
    void release_all() { all_released_ = true; }

    [[nodiscard]] const checkpoint_plan& plan() const { return plan_; }

  private:
    const checkpoint_plan plan_;
    const journal& tokens_;
    const checkpoint_settings& settings_;
    checkpoint_writer_host& host_;
    chart::machine machine_;
    std::optional<api::checkpoint_party> holder_;
    std::set<api::checkpoint_party> tried_holders_;
    std::uint64_t sent_ = 0;
    std::uint64_t held_ = 0;
    std::uint64_t released_;
    bool finished_ = false;
    bool finish_sent_ = false;
    bool streaming_ = false;
    bool all_released_ = false;
    core::instant now_{};
    core::instant last_run_{};
    std::optional<core::instant> unacknowledged_since_;

    void raise(checkpoint_event event);
    [[nodiscard]] bool holds(chart::symbol guard) const override;
    void perform(chart::symbol action) override;
    void start_timer(chart::state_timeout /*timeout*/) override {}
    void stop_timer(chart::state_timeout /*timeout*/) override {}

    [[nodiscard]] std::optional<api::checkpoint_party> next_holder() const;
    [[nodiscard]] bool has_unsent() const;
    [[nodiscard]] core::duration flush_period() const;
    void open_at_holder();
};

} // namespace cyclamen::generation
