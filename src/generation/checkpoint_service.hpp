#pragma once

#include <map>
#include <memory>

#include "generation/checkpoint_holder.hpp"
#include "generation/checkpoint_writer.hpp"
#include "generation/takeover.hpp"

namespace cyclamen::generation {

/// Where messages to other instances go. Called on the decision task.
class checkpoint_output {
  public:
    virtual ~checkpoint_output() = default;
    virtual void send(const api::checkpoint_party& to, api::checkpoint_message message) = 0;
};

/// Hears what comes of checkpoints. Called on the decision task.
class checkpoint_listener {
  public:
    virtual ~checkpoint_listener() = default;

    /// Streaming callers of a generation may get more tokens.
    virtual void on_released(core::generation_id id) = 0;

    /// Another instance goes on with a generation.
    virtual void on_superseded(core::generation_id id) = 0;

    /// A search has ended.
    /// @param key the generation
    /// @param found what peers hold of it, empty where they hold nothing
    virtual void on_search_ended(const api::checkpoint_key& key,
                                 const std::optional<found_checkpoint>& found) = 0;
};

/// The charts that checkpoints run by.
struct checkpoint_charts {
    std::shared_ptr<const chart::chart> checkpoint;
    std::shared_ptr<const chart::chart> takeover;
};

/// All checkpoints of one instance: those that it has written for its own generations, those that
/// it holds for others, and its searches. Opens no socket and reads no clock.
class checkpoint_service final : private checkpoint_writer_host, private takeover_host {
  public:
    /// @param own this instance
    /// @param settings limits
    /// @param charts what decides
    /// @param output where messages go; outlives this object
    checkpoint_service(checkpoint_peer own, checkpoint_settings settings, checkpoint_charts charts,
                       checkpoint_output& output);

    /// Sets who hears what comes of checkpoints; outlives this object. Called before all else.
    void set_listener(checkpoint_listener& listener) { listener_ = &listener; }

    /// Takes over who the other instances are.
    void set_peers(std::vector<checkpoint_peer> peers, core::instant now);

    /// A message of another instance has arrived.
    void on_message(const api::checkpoint_party& from, const api::checkpoint_message& message,
                    core::instant now);

    /// Looks for what peers, or this instance, hold of a generation; the listener hears of the end,
    /// perhaps before this returns.
    void find_checkpoint(const api::checkpoint_key& key, const caller_position& position,
                         core::instant now);

    /// Starts to keep a copy of a generation at a peer.
    /// @param plan what stays the same
    /// @param tokens journal of the generation; outlives the checkpoint
    /// @param released how many of its tokens callers may get at once
    /// @param now current instant
    void open(checkpoint_plan plan, const journal& tokens, std::uint64_t released,
              core::instant now);

    /// The journal of a generation has grown.
    void on_tokens(core::generation_id id) { schedule(id); }

    /// A caller of a generation takes tokens as they come.
    void enable_streaming(core::generation_id id);

    /// A generation has no further tokens.
    void finish(core::generation_id id);

    /// Gives up waiting for the holder of a generation.
    void release_all(core::generation_id id);

    /// Forgets a generation; its holder keeps what it has for a while.
    void close(core::generation_id id);

    /// @return how many tokens streaming callers may get, empty for all
    [[nodiscard]] std::optional<std::uint64_t> released(core::generation_id id) const;

    void on_timer(core::instant now);
    [[nodiscard]] std::optional<core::instant> next_deadline() const;

    /// @return how many generations went on without a copy though there were peers
    [[nodiscard]] std::uint64_t unprotected_count() const { return unprotected_count_; }

    /// @return how many generations this instance holds for others
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
