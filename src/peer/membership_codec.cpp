#include "peer/wire.hpp"

namespace cyclamen::peer::detail {

namespace {

void write_address(const core::socket_address& value, wire::address& out)
{
    out.set_ip(value.ip);
    out.set_port(value.port);
}

core::socket_address read_address(const wire::address& in)
{
    return core::socket_address{in.ip(), static_cast<std::uint16_t>(in.port())};
}

wire::member_state to_wire(api::member_state state)
{
    switch (state) {
    case api::member_state::starting:
        return wire::STARTING;
    case api::member_state::serving:
        return wire::SERVING;
    case api::member_state::draining:
        return wire::DRAINING;
    case api::member_state::suspect:
        return wire::SUSPECT;
    case api::member_state::gone:
        break;
    }
    return wire::GONE;
}

api::member_state state_from_wire(wire::member_state state)
{
    switch (state) {
    case wire::STARTING:
        return api::member_state::starting;
    case wire::SERVING:
        return api::member_state::serving;
    case wire::DRAINING:
        return api::member_state::draining;
    case wire::SUSPECT:
        return api::member_state::suspect;
    default:
        return api::member_state::gone;
    }
}

template <class Wire>
void write_members(const std::vector<api::member>& members, Wire& out)
{
    for (const api::member& member : members) {
        wire::member& written = *out.add_members();
        written.set_name(member.identity.name.str());
        written.set_incarnation(member.identity.incarnation.value());
        written.set_version(member.version);
        written.set_state(to_wire(member.state));
        written.set_failure_domain(member.failure_domain.str());
        write_address(member.callers, *written.mutable_callers());
        write_address(member.peers, *written.mutable_peers());
    }
}

template <class Wire>
std::vector<api::member> read_members(const Wire& in)
{
    std::vector<api::member> members;
    members.reserve(static_cast<std::size_t>(in.members_size()));
    for (const wire::member& member : in.members()) {
        members.push_back(api::member{
            {core::instance_name{member.name()}, core::incarnation{member.incarnation()}},
            member.version(),
            state_from_wire(member.state()),
            core::failure_domain_name{member.failure_domain()},
            read_address(member.callers()),
            read_address(member.peers())});
    }
    return members;
}

template <class Value, class Wire>
void write_probe(const Value& value, Wire& out)
{
    out.set_sequence(value.sequence);
    write_part(value.configuration, *out.mutable_configuration());
    write_members(value.members, out);
}

} // namespace

void write(const api::probe& value, wire::envelope& out)
{
    write_probe(value, *out.mutable_probe());
}

void write(const api::probe_ack& value, wire::envelope& out)
{
    write_probe(value, *out.mutable_probe_ack());
}

void write(const api::probe_request& value, wire::envelope& out)
{
    out.mutable_probe_request()->set_sequence(value.sequence);
    out.mutable_probe_request()->set_subject(value.subject.str());
}

void write(const api::member_news& value, wire::envelope& out)
{
    write_members(value.members, *out.mutable_member_news());
}

void write(const api::member_exchange& value, wire::envelope& out)
{
    write_members(value.members, *out.mutable_member_exchange());
    out.mutable_member_exchange()->set_wants_answer(value.wants_answer);
}

api::probe read(const wire::probe& in)
{
    return api::probe{in.sequence(), read_part(in.configuration()), read_members(in)};
}

api::probe_ack read(const wire::probe_ack& in)
{
    return api::probe_ack{in.sequence(), read_part(in.configuration()), read_members(in)};
}

api::probe_request read(const wire::probe_request& in)
{
    return api::probe_request{in.sequence(), core::instance_name{in.subject()}};
}

api::member_news read(const wire::member_news& in)
{
    return api::member_news{read_members(in)};
}

api::member_exchange read(const wire::member_exchange& in)
{
    return api::member_exchange{read_members(in), in.wants_answer()};
}

} // namespace cyclamen::peer::detail
