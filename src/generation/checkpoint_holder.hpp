#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "api/checkpoint_messages.hpp"
#include "core/time.hpp"

namespace cyclamen::generation {

/// A checkpoint message and its recipient.
struct addressed_message {
    const api::checkpoint_party to;
    const api::checkpoint_message message;

    bool operator==(const addressed_message&) const = default;
};

/// Stores the checkpoints that this instance holds for generations of other instances. It also
/// fences owners: once a successor has fetched a generation, tokens from the old owner are
/// rejected. Opens no socket and reads no clock.
class checkpoint_holder {
  public:
    /// @param retention how long a checkpoint is kept after the last message from its owner
    /// @param owner_timeout an owner that has sent a message within this time counts as alive and
    ///        keeps its generation
    checkpoint_holder(core::duration retention, core::duration owner_timeout)
        : retention_{retention}, owner_timeout_{owner_timeout}
    {
    }

    /// Sets which instances are live. Generations of any other instance may be taken over at once.
    void set_live_instances(std::set<api::checkpoint_party> live_instances)
    {
        live_instances_ = std::move(live_instances);
    }

    /// @param from the sender, which owns the generation
    /// @return the reply to the sender
    [[nodiscard]] api::checkpoint_message on_open(const api::checkpoint_party& from,
                                                  const api::checkpoint_open& message,
                                                  core::instant now);

    /// @param from the sender, which owns the generation
    /// @return the replies to the sender
    [[nodiscard]] std::vector<api::checkpoint_message>
    on_append(const api::checkpoint_party& from, const api::checkpoint_append& message,
              core::instant now);

    /// Returns a copy of a generation and, if its owner is unresponsive, makes the requester its
    /// owner.
    /// @param from the instance that wants to take the generation over
    /// @return the reply, and the notice to the old owner if ownership changes
    [[nodiscard]] std::vector<addressed_message> on_fetch(const api::checkpoint_party& from,
                                                          const api::checkpoint_fetch& message,
                                                          core::instant now);

    /// Drops checkpoints whose retention time has passed.
    void remove_expired(core::instant now);

    [[nodiscard]] std::size_t size() const { return entries_.size(); }

  private:
    /// The checkpoint of one generation.
    struct entry {
        api::checkpoint_party owner;
        api::checkpoint_epoch epoch;
        core::version_name version;
        std::uint64_t request_hash;
        std::vector<api::lineage_part> lineage;
        std::vector<std::string> tokens;
        bool finished;
        /// Time of the owner's last message.
        core::instant last_contact;
        /// True once the owner has sent a message since it became the owner.
        bool confirmed;
    };

    const core::duration retention_;
    const core::duration owner_timeout_;
    std::set<api::checkpoint_party> live_instances_;
    std::map<api::checkpoint_key, std::unique_ptr<entry>> entries_;

    [[nodiscard]] static bool is_owner(const entry& stored, const api::checkpoint_party& party,
                                       api::checkpoint_epoch epoch);
    [[nodiscard]] bool keeps_owner(const entry& stored, const api::checkpoint_party& requester,
                                   core::instant now) const;
    void append_run(entry& stored, const api::checkpoint_run& run);
};

} // namespace cyclamen::generation
