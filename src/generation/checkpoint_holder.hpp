#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "api/checkpoint_messages.hpp"
#include "core/time.hpp"

namespace cyclamen::generation {

/// A message about checkpoints with its receiver.
struct addressed_message {
    const api::checkpoint_party to;
    const api::checkpoint_message message;

    bool operator==(const addressed_message&) const = default;
};

/// What this instance holds for generations of other instances. It is also the fence: once a
/// successor has fetched a generation, the old owner's tokens are refused. Opens no socket and
/// reads no clock.
class checkpoint_holder {
  public:
    /// @param keep how long a checkpoint is kept after its owner was last heard
    /// @param owner_timeout an owner that was heard since lives, and keeps its generation
    checkpoint_holder(core::duration retention, core::duration owner_timeout)
        : retention_{retention}, owner_timeout_{owner_timeout}
    {
    }

    /// Takes over which instances there are; the others' generations may be succeeded at once.
    void set_live_instances(std::set<api::checkpoint_party> live_instances)
    {
        live_instances_ = std::move(live_instances);
    }

    /// @param from the owner
    /// @return the answer
    [[nodiscard]] api::checkpoint_message on_open(const api::checkpoint_party& from,
                                                  const api::checkpoint_open& message,
                                                  core::instant now);

    /// @param from the owner
    /// @return the answers
    [[nodiscard]] std::vector<api::checkpoint_message>
    on_append(const api::checkpoint_party& from, const api::checkpoint_append& message,
              core::instant now);

    /// Gives a copy of a generation and, where its owner is quiet, makes the asker its owner.
    /// @param from the successor
    /// @return the answer, and a note to the old owner
    [[nodiscard]] std::vector<addressed_message> on_fetch(const api::checkpoint_party& from,
                                                          const api::checkpoint_fetch& message,
                                                          core::instant now);

    /// Forgets what was kept long enough.
    void remove_expired(core::instant now);

    [[nodiscard]] std::size_t size() const { return entries_.size(); }

  private:
    /// One generation.
    struct entry {
        api::checkpoint_party owner;
        api::checkpoint_epoch epoch;
        core::version_name version;
        std::uint64_t request_hash;
        std::vector<api::lineage_part> lineage;
        std::vector<std::string> tokens;
        bool finished;
        /// Last instant at which the owner asked or sent something.
        core::instant last_contact;
        /// True where the owner has sent something since it became it.
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
