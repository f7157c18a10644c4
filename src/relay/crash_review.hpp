#pragma once

#include <map>
#include <utility>
#include <vector>

#include "relay/crash_evidence.hpp"
#include "relay/target.hpp"
#include "relay/target_contact.hpp"

namespace cyclamen::relay {

/// How far an attempt had come when it was lost.
enum class attempt_stage {
    /// The target had received the request and sent nothing.
    sent,
    /// The target had just begun to answer.
    begun,
};

/// Decides whether a lost attempt tells of a crash. A connection may end for many reasons while the
/// target runs on; requests are only suspects if the target has ended. Attempts on one target that
/// are lost while it is being checked share the check.
///
/// Opens no socket and reads no clock. Used by the decision task.
class crash_review {
  public:
    /// Adds a lost attempt.
    /// @return true if the target is to be checked now, false if a check is pending
    [[nodiscard]] bool add(const target_record& target, const crash_record& suspect,
                           attempt_stage stage);

    /// Applies the result of a check.
    /// @return the suspects of the crash, empty if the target still runs
    [[nodiscard]] std::vector<crash_record> on_checked(const target_record& target,
                                                       const target_contact& contact);

    /// @return number of targets that are being checked
    [[nodiscard]] std::size_t size() const { return pending_.size(); }

  private:
    struct lost_attempt {
        const crash_record suspect;
        const attempt_stage stage;
    };
    using incarnation = std::pair<core::target_name, core::wall_time>;

    std::map<incarnation, std::vector<lost_attempt>> pending_;
};

} // namespace cyclamen::relay
