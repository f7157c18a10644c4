#include "instance/checkpoint_component.hpp"

#include "core/text.hpp"

namespace cyclamen::instance {

namespace {

api::checkpoint_party party_of(const api::peer_identity& identity)
{
    return api::checkpoint_party{identity.name, identity.life};
}

generation::checkpoint_peer peer_of(const api::member& member)
{
    return generation::checkpoint_peer{party_of(member.identity), member.failure_domain};
}

template <class Part, class Variant>
struct is_part_of;

template <class Part, class... Parts>
struct is_part_of<Part, std::variant<Parts...>> : std::disjunction<std::is_same<Part, Parts>...> {
};

/// @return the message where it is one of checkpoints
std::optional<api::checkpoint_message> checkpoint_part(const api::peer_message& message)
{
    return std::visit(
        [](const auto& each) -> std::optional<api::checkpoint_message> {
            using part = std::decay_t<decltype(each)>;
            if constexpr (is_part_of<part, api::checkpoint_message>::value) {
                return api::checkpoint_message{each};
            }
            else {
                return std::nullopt;
            }
        },
        message);
}

api::peer_message to_peer_message(const api::checkpoint_message& message)
{
    return std::visit([](const auto& each) { return api::peer_message{each}; }, message);
}

bool keeps_copies(const api::member& member)
{
    return member.state == api::member_state::serving ||
           member.state == api::member_state::draining;
}

} // namespace

checkpoint_component::checkpoint_component(const api::member& self,
                                           generation::checkpoint_charts charts,
                                           generation::generation_manager& generations,
                                           senders& out)
    : generations_{generations}, out_{out}, service_{peer_of(self),
                                                     generation::checkpoint_settings{},
                                                     std::move(charts), *this}
{
    generations_.use_checkpoints(
        service_, core::concat(self.identity.name.str(), "-", self.identity.life.value()));
    generations_.set_quarantine_announcer(
        [this](const api::quarantine_notice& notice) { announce(notice); });
}

void checkpoint_component::on_members(const std::vector<api::member>& others, core::instant now)
{
    std::vector<generation::checkpoint_peer> peers;
    destinations_.clear();
    for (const api::member& each : others) {
        if (keeps_copies(each)) {
            peers.push_back(peer_of(each));
            destinations_.emplace(party_of(each.identity),
                                  api::peer_destination{each.peers, each.identity});
        }
    }
    service_.set_peers(std::move(peers), now);
}

void checkpoint_component::on_message(const decision_message& message, core::instant now)
{
    const auto* event = std::get_if<api::peer_event>(&message);
    if (event == nullptr) {
        return;
    }
    const auto& received = std::get<api::peer_received>(*event);
    const auto part = checkpoint_part(received.message);
    if (!part.has_value()) {
        return;
    }
    // What comes of the message happens now, also for the timers of generations.
    generations_.on_timer(now);
    if (const auto* notice = std::get_if<api::quarantine_notice>(&*part)) {
        generations_.on_quarantine_notice(*notice, now);
    }
    else {
        service_.on_message(party_of(received.from), *part, now);
    }
}

std::optional<core::instant> checkpoint_component::next_due() const
{
    return service_.next_deadline();
}

void checkpoint_component::on_time(core::instant now)
{
    generations_.on_timer(now);
    service_.on_timer(now);
}

void checkpoint_component::send(const api::checkpoint_party& to, api::checkpoint_message message)
{
    const auto found = destinations_.find(to);
    if (found != destinations_.end()) {
        out_.peers.send(api::send_to_peers{{found->second}, to_peer_message(message)});
    }
}

void checkpoint_component::announce(const api::quarantine_notice& notice)
{
    std::vector<api::peer_destination> all;
    for (const auto& [party, destination] : destinations_) {
        all.push_back(destination);
    }
    out_.peers.send(api::send_to_peers{std::move(all), api::peer_message{notice}});
}

} // namespace cyclamen::instance
