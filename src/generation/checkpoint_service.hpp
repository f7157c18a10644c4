#pragma once

#include <map>
#include <memory>

#include "generation/checkpoint_holder.hpp"
#include "generation/checkpoint_writer.hpp"
#include "generation/takeover.hpp"

namespace cyclamen::generation {

/// Sends messages to other instances. Called on the decision task.
class checkpoint_output {
  public:
    virtual ~checkpoint_output() = default;
    virtual void send(const api::checkpoint_party& to, api::checkpoint_message message) = 0;
};

/// Receives the results of checkpoints and searches. Called on the decision task.
class checkpoint_listener {
  public:
    virtual ~checkpoint_listener() = default;

    /// More tokens of a generation may be delivered to its streaming callers.
    virtual void on_released(core::generation_id id) = 0;

    /// Another instance has taken a generation over.
    virtual void on_superseded(core::generation_id id) = 0;

    /// A search for a checkpoint has ended.
    /// @param key the generation
    /// @param found the checkpoint that was found, empty if none is held
    virtual void on_search_ended(const api::checkpoint_key& key,
                                 const std::optional<found_checkpoint>& found) = 0;
};

/// The charts that control checkpoints and takeovers.
struct checkpoint_charts {
    std::shared_ptr<const chart::chart> checkpoint;
    std::shared_ptr<const chart::chart> takeover;
};

/// All checkpoints of one instance: those that it writes for its own generations, those that it
/// holds for other instances, and its searches for checkpoints at peers. Opens no socket and reads
/// no clock.
class checkpoint_service final : private checkpoint_writer_host, private takeover_host {
  public:
    /// @param own this instance
    /// @param settings time limits and bounds
    /// @param charts the charts `checkpoint` and `takeover`
    /// @param output sends messages to other instances; outlives this object
    checkpoint_service(checkpoint_peer own, checkpoint_settings settings, checkpoint_charts charts,
                       checkpoint_output& output);

    /// Sets the listener for results, which outlives this object. Called before any other function.
    void set_listener(checkpoint_listener& listener) { listener_ = &listener; }

    /// Sets the other instances that are live now.
    void set_peers(std::vector<checkpoint_peer> peers, core::instant now);

    /// Handles a message from another instance.
    void on_message(const api::checkpoint_party& from, const api::checkpoint_message& message,
                    core::instant now);

    /// Searches this instance and its peers for a checkpoint of a generation. The result goes to
    /// the listener's on_search_ended(), possibly before this function returns.
    void find_checkpoint(const api::checkpoint_key& key, const caller_position& position,
                         core::instant now);

    /// Starts keeping a checkpoint of a generation at a peer.
    /// @param plan identity and origin of the generation
    /// @param tokens journal of the generation; outlives the checkpoint
    /// @param released how many of its tokens may be delivered to callers at once
    /// @param now current instant
    void open(checkpoint_plan plan, const journal& tokens, std::uint64_t released,
              core::instant now);

    /// Tokens were appended to the journal of a generation.
    void on_tokens(core::generation_id id) { schedule(id); }

    /// Sends the tokens of a generation in short intervals from now on, because a caller streams
    /// it.
    void enable_streaming(core::generation_id id);

    /// The answer of a generation is complete.
    void finish(core::generation_id id);

    /// Releases all tokens of a generation without waiting for its holder.
    void release_all(core::generation_id id);

    /// Stops the checkpoint of a generation; its holder keeps the copy for its retention time.
    void close(core::generation_id id);

    /// @return how many tokens may be delivered to streaming callers, empty if all may
    [[nodiscard]] std::optional<std::uint64_t> released(core::generation_id id) const;

    void on_timer(core::instant now);
    [[nodiscard]] std::optional<core::instant> next_deadline() const;

    /// @return how many generations continued without a copy although there were peers
    [[nodiscard]] std::uint64_t unprotected_count() const { return unprotected_count_; }

    /// @return how many checkpoints this instance holds for others
    [[nodiscard]] std::size_t held_count() const { return holder_.size(); }

  private:
    using writer_map = std::map<core::generation_id, std::unique_ptr<checkpoint_writer>>;

    const checkpoint_peer own_;
    const checkpoint_settings settings_;
    const checkpoint_charts charts_;
    checkpoint_output& output_;
    checkpoint_listener* listener_ = nullptr;
    peer_directory directory_;
    checkpoint_holder holder_;
    writer_map writers_;
    std::map<api::checkpoint_key, core::generation_id> by_key_;
    std::map<core::generation_id, core::instant> deadline_of_;
    std::set<std::pair<core::instant, core::generation_id>> deadlines_;
    std::map<std::uint64_t, std::unique_ptr<takeover>> takeovers_;
    std::map<std::uint64_t, core::instant> search_deadlines_;
    std::map<api::checkpoint_party, core::instant> unresponsive_until_;
    std::uint64_t last_request_ = 0;
    std::uint64_t unprotected_count_ = 0;
    core::instant next_expiry_{};
    core::instant now_{};

    void send(const api::checkpoint_party& to, api::checkpoint_message message) override;
    [[nodiscard]] const peer_directory& directory() const override { return directory_; }
    void on_released(core::generation_id id) override { listener_->on_released(id); }
    void on_superseded(core::generation_id id) override { listener_->on_superseded(id); }
    void on_unprotected(core::generation_id id) override;
    void send_fetch(const api::checkpoint_party& peer,
                    const api::checkpoint_fetch& message) override;
    void on_unresponsive(const api::checkpoint_party& peer) override;
    void on_search_ended(const api::checkpoint_key& key,
                         std::optional<found_checkpoint> found) override;

    void handle(const api::checkpoint_party& from, const api::checkpoint_open& message);
    void handle(const api::checkpoint_party& from, const api::checkpoint_append& message);
    void handle(const api::checkpoint_party& from, const api::checkpoint_ack& message);
    void handle(const api::checkpoint_party& from, const api::checkpoint_superseded& message);
    void handle(const api::checkpoint_party& from, const api::checkpoint_unknown& message);
    void handle(const api::checkpoint_party& from, const api::checkpoint_fetch& message);
    void handle(const api::checkpoint_party& from, const api::checkpoint_fetched& message);
    void handle(const api::checkpoint_party& /*from*/, const api::quarantine_notice& /*message*/) {}

    [[nodiscard]] checkpoint_writer* writer_of(const api::checkpoint_key& key);
    void schedule(core::generation_id id);
    void flush();
    void expire_searches();
};

} // namespace cyclamen::generation
