#include "instance/checkpoint_component.hpp"

#include "core/text.hpp"

namespace cyclamen::instance {

namespace {

api::checkpoint_party to_party(const api::peer_identity& identity)
{
    return api::checkpoint_party{identity.name, identity.incarnation};
}

generation::checkpoint_peer to_checkpoint_peer(const api::member& member)
{
    return generation::checkpoint_peer{to_party(member.identity), member.failure_domain};
}

template <class Alternative, class Variant>
struct is_alternative_of;

template <class Alternative, class... Alternatives>
struct is_alternative_of<Alternative, std::variant<Alternatives...>>
    : std::disjunction<std::is_same<Alternative, Alternatives>...> {
};

/// @return the message if it belongs to checkpoint_message, empty otherwise
std::optional<api::checkpoint_message> to_checkpoint_message(const api::peer_message& message)
{
    return std::visit(
        [](const auto& each) -> std::optional<api::checkpoint_message> {
            using message_type = std::decay_t<decltype(each)>;
            if constexpr (is_alternative_of<message_type, api::checkpoint_message>::value) {
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

bool can_hold_checkpoints(const api::member& member)
{
    return member.state == api::member_state::serving ||
           member.state == api::member_state::draining;
}

} // namespace

checkpoint_component::checkpoint_component(const api::member& self,
                                           generation::checkpoint_charts charts,
                                           generation::generation_manager& generations,
                                           senders& out)
    : generations_{generations}, out_{out}, service_{to_checkpoint_peer(self),
                                                     generation::checkpoint_settings{},
                                                     std::move(charts), *this}
{
    generations_.use_checkpoints(
        service_, core::concat(self.identity.name.str(), "-", self.identity.incarnation.value()));
    generations_.set_quarantine_announcer(
        [this](const api::quarantine_notice& notice) { publish_quarantine(notice); });
}

void checkpoint_component::on_members(const std::vector<api::member>& others, core::instant now)
{
    std::vector<generation::checkpoint_peer> peers;
    destinations_.clear();
    for (const api::member& each : others) {
        if (can_hold_checkpoints(each)) {
            peers.push_back(to_checkpoint_peer(each));
            destinations_.emplace(to_party(each.identity),
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
    const auto checkpoint_message = to_checkpoint_message(received.message);
    if (!checkpoint_message.has_value()) {
        return;
    }
    // The message may change generations at `now`, so their timers must have run up to that
    // instant.
    generations_.on_timer(now);
    if (const auto* notice = std::get_if<api::quarantine_notice>(&*checkpoint_message)) {
        generations_.on_quarantine_notice(*notice, now);
    }
    else {
        service_.on_message(to_party(received.from), *checkpoint_message, now);
    }
}

std::optional<core::instant> checkpoint_component::next_deadline() const
{
    return service_.next_deadline();
}

void checkpoint_component::on_timer(core::instant now)
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

void checkpoint_component::publish_quarantine(const api::quarantine_notice& notice)
{
    std::vector<api::peer_destination> all;
    for (const auto& [party, destination] : destinations_) {
        all.push_back(destination);
    }
    out_.peers.send(api::send_to_peers{std::move(all), api::peer_message{notice}});
}

} // namespace cyclamen::instance
