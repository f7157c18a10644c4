#include "relay/member_registry.hpp"

namespace cyclamen::relay {

member_registry::member_registry(core::instance_name self, watch_settings settings)
    : self_{std::move(self)}, settings_{settings}
{
}

void member_registry::update(bool complete, const std::vector<member_entry>& present,
                             const std::vector<core::instance_name>& gone)
{
    if (complete) {
        entries_.clear();
    }
    for (const core::instance_name& each : gone) {
        entries_.erase(each);
    }
    for (const member_entry& each : present) {
        entries_.erase(each.instance.name);
        entries_.emplace(each.instance.name, each);
    }
}

std::vector<member> member_registry::members() const
{
    std::vector<member> listed;
    for (const auto& [name, entry] : entries_) {
        listed.push_back(entry.instance);
    }
    return listed;
}

std::optional<member> member_registry::watched() const
{
    auto next = entries_.upper_bound(self_);
    if (next == entries_.end()) {
        next = entries_.begin();
    }
    return next == entries_.end() || next->first == self_ ? std::nullopt
                                                          : std::optional{next->second.instance};
}

std::optional<member_entry> member_registry::on_answer(const core::instance_name& asked, bool alive)
{
    if (alive) {
        failures_.erase(asked);
        return std::nullopt;
    }
    const auto entry = entries_.find(asked);
    if (++failures_[asked] < settings_.max_failures || entry == entries_.end()) {
        return std::nullopt;
    }
    failures_.erase(asked);
    return entry->second;
}

} // namespace cyclamen::relay
