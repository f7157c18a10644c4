#include <algorithm>

#include "core/log.hpp"
#include "relay/relay_manager.hpp"

/// @file
/// The other instances of the fleet.

namespace cyclamen::relay {

void relay_manager::on(const members_listed& update)
{
    members_.update(update.complete, update.present, update.gone);
    const bool withdrawn =
        std::find(update.gone.begin(), update.gone.end(), settings_.name) != update.gone.end();
    if (lifecycle_.is_serving() && (withdrawn || (update.complete && !lists_self()))) {
        // Another instance could not reach this one for a while, or the store has lost its entry.
        core::log_event(core::log_level::warning, "instance_missed", {});
        host_.send(announce_member{true});
    }
    const std::vector<member> members = members_.members();
    core::log_event(core::log_level::info, "instances_listed", {{"count", members.size()}});
    budget_.set_instances(members.size());
    shares_.set_instances(members.size(), now_);
    targets_.on_members(members);
    publish_directory();
    if (!next_watch_at_.has_value()) {
        next_watch_at_ = now_ + settings_.watch.period;
    }
}

bool relay_manager::lists_self() const
{
    const std::vector<member> members = members_.members();
    return std::any_of(members.begin(), members.end(),
                       [this](const member& each) { return each.name == settings_.name; });
}

void relay_manager::on(const members_restored& restored)
{
    const bool listed = restored.present.contains(settings_.name);
    if (lifecycle_.is_serving() ? !listed : listed && lifecycle_.is_leaving()) {
        core::log_event(core::log_level::info, "instance_row_lost", {{"listed", listed}});
        host_.send(announce_member{!listed});
    }
}

void relay_manager::on(const instance_answered& answer)
{
    const auto silent = members_.on_answer(answer.name, answer.alive);
    if (silent.has_value()) {
        core::log_event(
            core::log_level::warning, "instance_withdrawn",
            {{"instance", answer.name.str()}, {"entry_version", core::to_string(silent->version)}});
        host_.send(withdraw_member{answer.name, silent->version});
    }
}

void relay_manager::watch()
{
    next_watch_at_ = now_ + settings_.watch.period;
    withdraw_expired_crashes();
    write_crashes(crashes_.take_amendments());
    if (const auto watched = members_.watched(); watched.has_value()) {
        host_.send(ask_instance{watched->name, watched->readiness_address});
    }
}

void relay_manager::publish_directory()
{
    host_.send(directory_changed{lifecycle_.is_serving(), members_.members()});
}

} // namespace cyclamen::relay
