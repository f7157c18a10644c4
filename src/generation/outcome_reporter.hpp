#pragma once

#include <map>
#include <optional>
#include <vector>

#include "generation/outcome_listener.hpp"

namespace cyclamen::generation {

/// Tracks the open attempt of each generation and reports its outcome to listeners. Owned by the
/// generation manager.
class outcome_reporter {
  public:
    /// Adds a listener; it outlives this object.
    void add(outcome_listener& listener) { listeners_.push_back(&listener); }

    /// A request was refused before any attempt.
    void on_refused(const core::account_name& account, const core::service_name& service,
                    core::instant now);

    /// An attempt was sent to its target. A generation has at most one open attempt.
    void on_opened(core::generation_id generation, attempt_subject subject, core::instant now);

    /// Tokens of the open attempt have arrived.
    /// @param generation the generation of the attempt
    /// @param count how many of them are new
    /// @param now current instant
    void on_tokens(core::generation_id generation, std::uint64_t count, core::instant now);

    /// The open attempt produced all tokens that were requested from it.
    void on_finished(core::generation_id generation, core::instant now);

    /// The open attempt was lost.
    void on_lost(core::generation_id generation, loss_cause cause, bool poison, core::instant now);

    /// The open attempt was cancelled by this instance; listeners are not notified.
    void on_cancelled(core::generation_id generation) { open_.erase(generation); }

    /// A reported loss turned out to be caused by its request.
    void excuse(const attempt_subject& subject, core::instant now);

    /// @return description of the open attempt, empty if none is open
    [[nodiscard]] std::optional<attempt_subject> subject_of(core::generation_id generation) const;

  private:
    struct open_attempt {
        attempt_subject subject;
        core::instant opened;
        core::instant last_run;
        std::uint64_t tokens = 0;
    };

    std::vector<outcome_listener*> listeners_;
    std::map<core::generation_id, open_attempt> open_;
};

} // namespace cyclamen::generation
