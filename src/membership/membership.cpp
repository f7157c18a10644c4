#include "membership/membership.hpp"

#include <algorithm>

namespace cyclamen::membership {

namespace {

using api::member_state;

api::peer_destination destination_of(const api::member& member)
{
    return api::peer_destination{member.peers, member.identity};
}

bool is_responsive(const api::member& member)
{
    return member.state < member_state::suspect;
}

} // namespace

membership::membership(const membership_settings& settings, const api::member& self,
                       membership_host& host, std::uint64_t seed)
    : settings_{settings}, self_{self}, host_{host}, random_{seed},
      seeds_{settings.seeds.begin(), settings.seeds.end()}, updates_{settings.extra_update_rounds}
{
}

void membership::start(core::instant now)
{
    last_activity_ = now;
    // Offsets the rounds at random, so that instances that start together don't send together.
    const auto percent = std::chrono::milliseconds{random_() % 100};
    next_probe_at_ = now + settings_.probe_period * percent.count() / 100;
    next_update_at_ = now + settings_.update_period;
    next_exchange_at_ = now + settings_.exchange_period * percent.count() / 100;
    next_rejoin_at_ = now + settings_.rejoin_period;
    for (const core::socket_address& address : addresses_to_rejoin()) {
        host_.send({{address, {}}}, api::member_exchange{full_state(), true});
    }
}

void membership::announce(member_state state, core::instant now)
{
    update_self(self().version + 1, state);
    propagate_change(self().identity.name, now);
    publish_updates();
}

void membership::add_seeds(const std::vector<core::socket_address>& seeds)
{
    seeds_.insert(seeds.begin(), seeds.end());
}

void membership::on_message(const api::peer_received& received, core::instant now)
{
    detect_pause(now);
    std::visit([&](const auto& message) { handle(received.from, message, now); }, received.message);
}

core::instant membership::next_deadline() const
{
    core::instant next = std::min({next_probe_at_, next_exchange_at_, next_rejoin_at_});
    if (!updates_.empty()) {
        next = std::min(next, next_update_at_);
    }
    for (const auto& [sequence, pending] : probes_) {
        const core::duration limit =
            pending.get().indirect ? settings_.probe_timeout : settings_.direct_timeout;
        next = std::min(next, pending.get().sent + limit);
    }
    for (const auto& [name, deadline] : suspects_) {
        next = std::min(next, deadline);
    }
    return next;
}

void membership::on_timer(core::instant now)
{
    detect_pause(now);
    expire_probes(now);
    expire_suspects(now);
    if (next_probe_at_ <= now) {
        next_probe_at_ = now + settings_.probe_period;
        probe_next(now);
        others_.forget_gone(now - settings_.retention);
    }
    if (next_update_at_ <= now) {
        next_update_at_ = now + settings_.update_period;
        publish_updates();
    }
    if (next_exchange_at_ <= now) {
        next_exchange_at_ = now + settings_.exchange_period;
        exchange(now);
    }
    if (next_rejoin_at_ <= now) {
        next_rejoin_at_ = now + settings_.rejoin_period;
        rejoin(now);
    }
}

std::vector<api::member> membership::present() const
{
    std::vector<api::member> members = others_.present();
    members.push_back(self());
    return members;
}

std::vector<api::peer_destination> membership::responsive_peers() const
{
    std::vector<api::peer_destination> peers;
    for (const api::member& member : others_.present()) {
        if (is_responsive(member)) {
            peers.push_back(destination_of(member));
        }
    }
    return peers;
}

std::vector<api::peer_destination> membership::random_peers(std::size_t count)
{
    const std::vector<api::peer_destination> peers = responsive_peers();
    std::vector<std::size_t> order(peers.size());
    for (std::size_t i = 0; i < order.size(); ++i) {
        order[i] = i;
    }
    std::vector<api::peer_destination> some;
    for (std::size_t i = 0; i < order.size() && some.size() < count; ++i) {
        std::swap(order[i], order[i + random_() % (order.size() - i)]);
        some.push_back(peers[order[i]]);
    }
    return some;
}

// Received messages.

void membership::handle(const api::peer_identity& from, const api::probe& message,
                        core::instant now)
{
    merge_all(message.members, now);
    host_.on_peer_knowledge(from, message.configuration, std::nullopt, now);
    const auto* requester = others_.find(from.name);
    if (requester == nullptr) {
        return;
    }
    if (requester->member.identity != from) {
        report_newer_incarnation(from, message, requester->member);
        return;
    }
    std::vector<api::member> members = take_updates();
    if (!is_responsive(requester->member)) {
        members.push_back(requester->member);
    }
    host_.send({destination_of(requester->member)},
               api::probe_ack{message.sequence, host_.knowledge(now), std::move(members)});
}

void membership::report_newer_incarnation(const api::peer_identity& from, const api::probe& message,
                                          const api::member& newer)
{
    for (const api::member& member : message.members) {
        if (member.identity == from) {
            host_.send({destination_of(member)}, api::member_news{{newer}});
        }
    }
}

void membership::handle(const api::peer_identity& from, const api::probe_ack& message,
                        core::instant now)
{
    const auto found = probes_.find(message.sequence);
    if (found == probes_.end()) {
        merge_all(message.members, now);
        return;
    }
    const pending_probe acknowledged = found->second.get();
    probes_.erase(found);
    if (acknowledged.requester.has_value()) {
        const auto& [requester, sequence] = *acknowledged.requester;
        const auto* known = others_.find(requester.name);
        if (known != nullptr && known->member.identity == requester) {
            host_.send({destination_of(known->member)},
                       api::probe_ack{sequence, host_.knowledge(now), {}});
        }
    }
    merge_all(message.members, now);
    host_.on_peer_knowledge(from, message.configuration, acknowledged.sent, now);
}

void membership::handle(const api::peer_identity& from, const api::probe_request& message,
                        core::instant now)
{
    const auto* subject = others_.find(message.subject);
    if (subject != nullptr) {
        send_probe(subject->member, std::pair{from, message.sequence}, now);
    }
}

void membership::handle(const api::peer_identity& /*from*/, const api::member_news& message,
                        core::instant now)
{
    merge_all(message.members, now);
}

void membership::handle(const api::peer_identity& from, const api::member_exchange& message,
                        core::instant now)
{
    merge_all(message.members, now);
    const auto* requester = others_.find(from.name);
    if (message.wants_answer && requester != nullptr) {
        host_.send({destination_of(requester->member)}, api::member_exchange{full_state(), false});
    }
}

// Member state.

void membership::detect_pause(core::instant now)
{
    const core::duration gap = now - last_activity_;
    last_activity_ = now;
    if (gap < settings_.pause_threshold) {
        return;
    }
    // Answers may have been missed during the pause, so a missing answer is no sign of a failure.
    probes_.clear();
    for (auto& [name, deadline] : suspects_) {
        deadline += gap;
    }
    host_.paused(gap, now);
}

void membership::merge_all(const std::vector<api::member>& reported, core::instant now)
{
    for (const api::member& member : reported) {
        if (member.identity.name == self().identity.name) {
            merge_own(member, now);
        }
        else {
            merge(member, now);
        }
    }
}

void membership::merge(const api::member& reported, core::instant now)
{
    const auto* known = others_.find(reported.identity.name);
    const bool was_gone = known != nullptr && known->member.state == member_state::gone;
    if (!others_.merge(reported, now)) {
        return;
    }
    for (const core::instance_name& replaced : others_.mark_replaced(reported, now)) {
        propagate_change(replaced, now);
    }
    propagate_change(reported.identity.name, now);
    if (was_gone && is_responsive(reported) && next_resync_at_ <= now) {
        // The two instances may have been on different sides of a network partition: send the full
        // state.
        next_resync_at_ = now + settings_.resync_interval;
        host_.send({destination_of(reported)}, api::member_exchange{full_state(), false});
    }
}

void membership::merge_own(const api::member& reported, core::instant now)
{
    if (reported.identity.incarnation > self().identity.incarnation) {
        host_.superseded(now);
        return;
    }
    if (supersedes(self(), reported)) {
        update_self(reported.version + 1, self().state);
        propagate_change(self().identity.name, now);
    }
}

void membership::propagate_change(const core::instance_name& name, core::instant now)
{
    updates_.add(name, others_.all().size() + 1);
    const auto* known = others_.find(name);
    if (known != nullptr && known->member.state == member_state::suspect) {
        suspects_.try_emplace(name, now + settings_.suspicion_timeout);
    }
    else {
        suspects_.erase(name);
    }
    host_.members_changed(now);
}

void membership::update_self(std::uint64_t version, member_state state)
{
    const api::member& old = self();
    self_.set(
        api::member{old.identity, version, state, old.failure_domain, old.callers, old.peers});
}

void membership::set_state(const api::member& subject, member_state state, core::instant now)
{
    merge(api::member{subject.identity, subject.version, state, subject.failure_domain,
                      subject.callers, subject.peers},
          now);
}

// Probes.

void membership::send_probe(const api::member& subject,
                            std::optional<std::pair<api::peer_identity, std::uint64_t>> requester,
                            core::instant now)
{
    ++last_sequence_;
    probes_.emplace(last_sequence_, pending_probe{subject, now, false, std::move(requester)});
    std::vector<api::member> members = take_updates();
    // Includes what is known of the subject itself, so that it can refute a suspicion.
    members.push_back(subject);
    host_.send({destination_of(subject)},
               api::probe{last_sequence_, host_.knowledge(now), std::move(members)});
}

void membership::probe_next(core::instant now)
{
    const auto subject = next_to_probe();
    if (subject.has_value()) {
        send_probe(*subject, std::nullopt, now);
    }
}

std::optional<api::member> membership::next_to_probe()
{
    for (int round = 0; round < 2; ++round) {
        while (!probe_order_.empty()) {
            const auto* next = others_.find(probe_order_.back());
            probe_order_.pop_back();
            if (next != nullptr && next->member.state != member_state::gone) {
                return next->member;
            }
        }
        for (const api::member& member : others_.present()) {
            probe_order_.push_back(member.identity.name);
        }
        std::shuffle(probe_order_.begin(), probe_order_.end(), random_);
    }
    return std::nullopt;
}

void membership::expire_probes(core::instant now)
{
    std::vector<std::uint64_t> expired;
    for (auto& [sequence, stored] : probes_) {
        const pending_probe& pending = stored.get();
        const core::duration age = now - pending.sent;
        if (age >= settings_.probe_timeout) {
            expired.push_back(sequence);
        }
        else if (age >= settings_.direct_timeout && !pending.indirect) {
            if (!pending.requester.has_value()) {
                host_.send(random_peers(settings_.indirect_probers),
                           api::probe_request{sequence, pending.subject.identity.name});
            }
            stored.set(pending_probe{pending.subject, pending.sent, true, pending.requester});
        }
    }
    for (const std::uint64_t sequence : expired) {
        const pending_probe pending = probes_.at(sequence).get();
        probes_.erase(sequence);
        const auto* known = others_.find(pending.subject.identity.name);
        if (!pending.requester.has_value() && known != nullptr && is_responsive(known->member) &&
            known->member.identity == pending.subject.identity) {
            set_state(known->member, member_state::suspect, now);
        }
    }
}

void membership::expire_suspects(core::instant now)
{
    std::vector<core::instance_name> overdue;
    for (const auto& [name, deadline] : suspects_) {
        if (deadline <= now) {
            overdue.push_back(name);
        }
    }
    for (const core::instance_name& name : overdue) {
        set_state(others_.find(name)->member, member_state::gone, now);
    }
}

// Dissemination.

void membership::publish_updates()
{
    if (updates_.empty()) {
        return;
    }
    std::vector<api::peer_destination> to = random_peers(settings_.update_fan_out);
    if (!to.empty()) {
        host_.send(std::move(to), api::member_news{take_updates()});
    }
}

std::vector<api::member> membership::take_updates()
{
    std::vector<api::member> members{self()};
    for (const core::instance_name& name : updates_.take_round(settings_.max_updates)) {
        const auto* known = others_.find(name);
        if (known != nullptr) {
            members.push_back(known->member);
        }
    }
    return members;
}

void membership::exchange(core::instant /*now*/)
{
    std::vector<api::peer_destination> to = random_peers(1);
    if (!to.empty()) {
        host_.send(std::move(to), api::member_exchange{full_state(), true});
    }
}

void membership::rejoin(core::instant now)
{
    const std::set<core::socket_address> addresses = addresses_to_rejoin();
    if (addresses.empty()) {
        return;
    }
    const auto chosen =
        std::next(addresses.begin(), static_cast<std::ptrdiff_t>(random_() % addresses.size()));
    std::vector<api::member> members{self()};
    for (const auto& [name, stored] : others_.all()) {
        if (stored.get().member.peers == *chosen) {
            members.push_back(stored.get().member);
        }
    }
    host_.send({{*chosen, {}}}, api::probe{0, host_.knowledge(now), std::move(members)});
}

std::set<core::socket_address> membership::addresses_to_rejoin() const
{
    std::set<core::socket_address> addresses = seeds_;
    for (const auto& [name, stored] : others_.all()) {
        if (stored.get().member.state == member_state::gone) {
            addresses.insert(stored.get().member.peers);
        }
    }
    for (const api::member& member : present()) {
        addresses.erase(member.peers);
    }
    return addresses;
}

std::vector<api::member> membership::full_state() const
{
    std::vector<api::member> members{self()};
    for (const auto& [name, stored] : others_.all()) {
        members.push_back(stored.get().member);
    }
    return members;
}

} // namespace cyclamen::membership
