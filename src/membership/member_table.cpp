#include "membership/member_table.hpp"

#include <tuple>

namespace cyclamen::membership {

bool supersedes(const api::member& known, const api::member& reported)
{
    const auto rank = [](const api::member& each) {
        return std::tuple{each.identity.incarnation, each.version, each.state};
    };
    return rank(reported) > rank(known);
}

bool member_table::merge(const api::member& reported, core::instant now)
{
    const entry* known = find(reported.identity.name);
    if (known == nullptr && reported.state == api::member_state::gone) {
        return false;
    }
    if (known != nullptr && !supersedes(known->member, reported)) {
        return false;
    }
    put(reported, now);
    return true;
}

std::vector<core::instance_name> member_table::mark_replaced(const api::member& newcomer,
                                                             core::instant now)
{
    std::vector<core::instance_name> replaced;
    for (const auto& [name, stored] : entries_) {
        const api::member& other = stored.get().member;
        if (name != newcomer.identity.name && other.peers == newcomer.peers &&
            other.identity.incarnation < newcomer.identity.incarnation &&
            other.state != api::member_state::gone) {
            replaced.push_back(name);
        }
    }
    for (const core::instance_name& name : replaced) {
        const api::member old = find(name)->member;
        put(api::member{old.identity, old.version, api::member_state::gone, old.failure_domain,
                        old.callers, old.peers},
            now);
    }
    return replaced;
}

void member_table::forget_gone(core::instant before)
{
    std::erase_if(entries_, [&](const auto& each) {
        const entry& stored = each.second.get();
        return stored.member.state == api::member_state::gone && stored.state_since < before;
    });
}

const member_table::entry* member_table::find(const core::instance_name& name) const
{
    const auto found = entries_.find(name);
    return found == entries_.end() ? nullptr : &found->second.get();
}

std::vector<api::member> member_table::present() const
{
    std::vector<api::member> members;
    for (const auto& [name, stored] : entries_) {
        if (stored.get().member.state != api::member_state::gone) {
            members.push_back(stored.get().member);
        }
    }
    return members;
}

void member_table::put(const api::member& member, core::instant now)
{
    const core::instance_name name = member.identity.name;
    const auto found = entries_.find(name);
    if (found == entries_.end()) {
        entries_.emplace(name, entry{member, now});
        return;
    }
    const entry& known = found->second.get();
    const core::instant state_since = known.member.state == member.state ? known.state_since : now;
    found->second.set(entry{member, state_since});
}

} // namespace cyclamen::membership
