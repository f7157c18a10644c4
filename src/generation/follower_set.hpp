#pragma once

#include <map>
#include <optional>
#include <vector>

#include "api/caller_messages.hpp"
#include "generation/takeover.hpp"

namespace cyclamen::generation {

/// Callbacks of follower_set, implemented by its owner. Called on the decision task.
class follower_host {
  public:
    virtual ~follower_host() = default;

    /// Searches peers for a checkpoint of a generation. The result is passed to
    /// follower_set::on_search_ended().
    virtual void find_checkpoint(const api::checkpoint_key& key,
                                 const caller_position& position) = 0;

    /// Serves a request at this instance, starting from the checkpoint that was found.
    virtual void admit(const api::generation_request& request,
                       const std::optional<found_checkpoint>& found) = 0;

    virtual void send(api::front_command command) = 0;
    virtual void refuse(core::caller_id caller, const absl::Status& status) = 0;
};

/// Callers at this instance whose generation another instance may own. While that owner is alive
/// they receive the tokens that its holder has; if it becomes unresponsive, this instance takes the
/// generation over.
class follower_set {
  public:
    /// @param host callbacks; outlives this object
    explicit follower_set(follower_host& host) : host_{host} {}

    /// Adds a request and searches for its generation, unless a search is already under way.
    void add(const api::checkpoint_key& key, const api::generation_request& request,
             core::instant now);

    /// Adds the request of a caller whose generation another instance has taken over. The search
    /// starts at the next on_timer().
    void hand_over(const api::checkpoint_key& key, const api::generation_request& request,
                   core::instant now);

    /// Removes a caller that has disconnected.
    void remove(core::caller_id caller);

    /// Handles the result of a search.
    void on_search_ended(const api::checkpoint_key& key,
                         const std::optional<found_checkpoint>& found, core::instant now);

    void on_timer(core::instant now);
    [[nodiscard]] std::optional<core::instant> next_deadline() const;

  private:
    /// A waiting caller.
    struct follower {
        const api::generation_request request;
        const core::instant deadline;
    };

    /// The waiting callers of one generation.
    struct follower_group {
        std::vector<follower> followers;
        bool searching = false;
        bool has_found_owner = false;
        int misses = 0;
        std::optional<core::instant> search_at;
    };

    follower_host& host_;
    std::map<api::checkpoint_key, follower_group> groups_;

    void start_search(const api::checkpoint_key& key);
    void deliver(follower_group& group, const api::checkpoint& copy, core::instant now);
    [[nodiscard]] std::optional<api::generation_request>
    deliver_to(const follower& member, const api::checkpoint& copy, core::instant now);
};

} // namespace cyclamen::generation
