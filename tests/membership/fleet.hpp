#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/text.hpp"
#include "membership/membership.hpp"

namespace cyclamen::test {

/// Simulates instances in virtual time. Messages are delayed and may be lost; instances can be
/// partitioned, paused and stopped.
class fleet {
  public:
    static constexpr core::duration step = std::chrono::milliseconds{10};

    /// One simulated instance.
    struct node final : membership::membership_host {
        node(fleet& parent, std::size_t position, const api::member& self,
             const membership::membership_settings& settings, std::uint64_t seed)
            : cluster{parent}, index{position}, state{settings, self, *this, seed}
        {
        }

        void send(std::vector<api::peer_destination> to, api::peer_message message) override
        {
            for (const api::peer_destination& each : to) {
                cluster.transmit(*this, each, message);
            }
        }
        [[nodiscard]] api::configuration_knowledge knowledge(core::instant /*now*/) const override
        {
            return {core::revision{1}, std::chrono::seconds{1}};
        }
        void on_peer_knowledge(const api::peer_identity& /*from*/,
                               const api::configuration_knowledge& /*heard*/,
                               std::optional<core::instant> not_before, core::instant now) override
        {
            has_future_knowledge =
                has_future_knowledge || (not_before.has_value() && *not_before > now);
        }
        void members_changed(core::instant /*now*/) override {}
        void paused(core::duration /*length*/, core::instant /*now*/) override { ++pauses; }
        void superseded(core::instant /*now*/) override { was_superseded = true; }

        [[nodiscard]] api::member_state view_of(const node& other) const
        {
            const auto* known = state.others().find(other.state.self().identity.name);
            return known == nullptr ? api::member_state::gone : known->member.state;
        }

        fleet& cluster;
        const std::size_t index;
        membership::membership state;
        bool alive = true;
        bool is_paused = false;
        bool was_superseded = false;
        bool has_future_knowledge = false;
        int pauses = 0;
        int partition = 0;
        std::uint64_t sent = 0;
        std::vector<api::peer_received> inbox;
    };

    explicit fleet(std::uint64_t seed = 1) : random_{seed} {}

    node& add(const std::string& name, std::uint16_t port, std::uint64_t life = 1,
              const std::vector<core::socket_address>& seeds = {address(1)})
    {
        const api::member self{{core::instance_name{name}, core::incarnation{life}},
                               1,
                               api::member_state::starting,
                               core::failure_domain_name{core::concat("d", port % 3)},
                               core::socket_address{"127.0.0.1", port},
                               address(port)};
        nodes.push_back(std::make_unique<node>(*this, nodes.size(), self,
                                               membership::membership_settings{seeds}, random_()));
        nodes.back()->state.start(now);
        nodes.back()->state.announce(api::member_state::serving, now);
        return *nodes.back();
    }

    void add_many(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            const auto port = static_cast<std::uint16_t>(nodes.size() + 1);
            add(core::concat("i", port), port);
        }
    }

    static core::socket_address address(std::uint16_t port)
    {
        return core::socket_address{"127.0.0.9", port};
    }

    void run(core::duration length)
    {
        for (const core::instant end = now + length; now < end;) {
            advance();
        }
    }

    /// Runs until a condition holds.
    /// @return the time that took, empty on timeout
    std::optional<core::duration> run_until(core::duration timeout,
                                            const std::function<bool()>& condition)
    {
        const core::instant start = now;
        while (!condition()) {
            if (now - start > timeout) {
                return std::nullopt;
            }
            advance();
        }
        return now - start;
    }

    /// @return true if all running instances see each other as serving
    [[nodiscard]] bool all_see_all_serving() const
    {
        for (const auto& viewer : nodes) {
            for (const auto& other : nodes) {
                if (viewer != other && viewer->alive && other->alive &&
                    viewer->view_of(*other) != api::member_state::serving) {
                    return false;
                }
            }
        }
        return true;
    }

    /// @return true if all other running instances of partition 0 see the instance in this state
    [[nodiscard]] bool all_see(const node& subject, api::member_state state) const
    {
        for (const auto& viewer : nodes) {
            if (viewer.get() != &subject && viewer->alive && viewer->partition == 0 &&
                viewer->view_of(subject) != state) {
                return false;
            }
        }
        return true;
    }

    void set_paused(node& subject, bool paused) { subject.is_paused = paused; }

    core::instant now{std::chrono::hours{1}};
    std::vector<std::unique_ptr<node>> nodes;
    double loss = 0;
    /// Called for every message that is sent, also for those that are lost.
    std::function<void(const node&, const api::peer_destination&, const api::peer_message&)>
        on_send;

  private:
    struct packet {
        core::socket_address address;
        api::peer_identity to;
        api::peer_received received;
        int partition;
    };

    std::mt19937_64 random_;
    std::multimap<core::instant, packet> in_flight_;

    void transmit(node& from, const api::peer_destination& to, const api::peer_message& message)
    {
        ++from.sent;
        if (on_send) {
            on_send(from, to, message);
        }
        if (std::uniform_real_distribution<>{}(random_) < loss) {
            return;
        }
        const auto delay = std::chrono::microseconds{500 + random_() % 2000};
        in_flight_.emplace(
            now + delay,
            packet{to.address, to.identity, {from.state.self().identity, message}, from.partition});
    }

    void advance()
    {
        now += step;
        while (!in_flight_.empty() && in_flight_.begin()->first <= now) {
            const packet delivered = in_flight_.begin()->second;
            in_flight_.erase(in_flight_.begin());
            deliver(delivered);
        }
        for (const auto& each : nodes) {
            if (each->alive && !each->is_paused) {
                run_node(*each);
            }
        }
    }

    void deliver(const packet& delivered)
    {
        for (const auto& each : nodes) {
            const api::peer_identity& identity = each->state.self().identity;
            const bool is_addressed =
                (delivered.to.name.empty() || delivered.to.name == identity.name) &&
                (delivered.to.incarnation.value() == 0 ||
                 delivered.to.incarnation == identity.incarnation);
            if (each->alive && each->state.self().peers == delivered.address && is_addressed &&
                each->partition == delivered.partition) {
                each->inbox.push_back(delivered.received);
            }
        }
    }

    void run_node(node& each)
    {
        const std::vector<api::peer_received> waiting{std::move(each.inbox)};
        each.inbox.clear();
        for (const api::peer_received& received : waiting) {
            each.state.on_message(received, now);
        }
        if (each.state.next_deadline() <= now) {
            each.state.on_timer(now);
        }
    }
};

} // namespace cyclamen::test
