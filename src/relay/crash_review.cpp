#include "relay/crash_review.hpp"

namespace cyclamen::relay {

namespace {

bool is_same_incarnation(const target_record& target, const target_contact& contact)
{
    const core::wall_time unknown{};
    const bool same_name = contact.name.empty() || contact.name == target.name;
    const bool same_start = contact.started_at == unknown || target.started_at == unknown ||
                            contact.started_at == target.started_at;
    return same_name && same_start;
}

/// @return true if an attempt that had come so far was lost in a crash
bool tells_of_crash(const target_record& target, const target_contact& contact, attempt_stage stage)
{
    switch (contact.result) {
    case contact_result::answered:
        return !is_same_incarnation(target, contact);
    case contact_result::refused:
        return true;
    case contact_result::silent:
        break;
    }
    // The path to the target may be cut. Only an answer that breaks off at its beginning remains
    // suspicious.
    return stage == attempt_stage::begun;
}

} // namespace

bool crash_review::add(const target_record& target, const crash_record& suspect,
                       attempt_stage stage)
{
    std::vector<lost_attempt>& lost = pending_[{target.name, target.started_at}];
    lost.push_back(lost_attempt{suspect, stage});
    return lost.size() == 1;
}

std::vector<crash_record> crash_review::on_checked(const target_record& target,
                                                   const target_contact& contact)
{
    std::vector<crash_record> suspects;
    const auto checked = pending_.extract({target.name, target.started_at});
    if (checked.empty()) {
        return suspects;
    }
    for (const lost_attempt& each : checked.mapped()) {
        if (tells_of_crash(target, contact, each.stage)) {
            suspects.push_back(each.suspect);
        }
    }
    return suspects;
}

} // namespace cyclamen::relay
