#include "peer/peer_codec.hpp"

#include "core/error.hpp"
#include "peer/wire.hpp"

namespace cyclamen::peer {

namespace {

/// @return the message in a received envelope, empty if this version knows no such payload
std::optional<api::peer_message> read_payload(const wire::envelope& in)
{
    switch (in.payload_case()) {
    case wire::envelope::kProbe:
        return detail::read(in.probe());
    case wire::envelope::kProbeAck:
        return detail::read(in.probe_ack());
    case wire::envelope::kProbeRequest:
        return detail::read(in.probe_request());
    case wire::envelope::kMemberNews:
        return detail::read(in.member_news());
    case wire::envelope::kMemberExchange:
        return detail::read(in.member_exchange());
    case wire::envelope::kRevisionNotice:
        return detail::read(in.revision_notice());
    case wire::envelope::kConfigurationRequest:
        return detail::read(in.configuration_request());
    case wire::envelope::kConfigurationCopy:
        return detail::read(in.configuration_copy());
    case wire::envelope::kStatusRequest:
        return detail::read(in.status_request());
    case wire::envelope::kStatusReport:
        return detail::read(in.status_report());
    case wire::envelope::kCheckpointOpen:
        return detail::read(in.checkpoint_open());
    case wire::envelope::kCheckpointAppend:
        return detail::read(in.checkpoint_append());
    case wire::envelope::kCheckpointAck:
        return detail::read(in.checkpoint_ack());
    case wire::envelope::kCheckpointSuperseded:
        return detail::read(in.checkpoint_superseded());
    case wire::envelope::kCheckpointUnknown:
        return detail::read(in.checkpoint_unknown());
    case wire::envelope::kCheckpointFetch:
        return detail::read(in.checkpoint_fetch());
    case wire::envelope::kCheckpointFetched:
        return detail::read(in.checkpoint_fetched());
    case wire::envelope::kQuarantineNotice:
        return detail::read(in.quarantine_notice());
    case wire::envelope::PAYLOAD_NOT_SET:
        break;
    }
    return std::nullopt;
}

} // namespace

std::string encode(const envelope& sent)
{
    wire::envelope out;
    out.set_from(sent.from.name.str());
    out.set_incarnation(sent.from.incarnation.value());
    out.set_to(sent.to.name.str());
    out.set_to_incarnation(sent.to.incarnation.value());
    std::visit([&](const auto& payload) { detail::write(payload, out); }, sent.message);
    return out.SerializeAsString();
}

absl::StatusOr<envelope> decode(std::string_view bytes)
{
    wire::envelope in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || in.from().empty()) {
        return core::make_error(core::error_kind::invalid_argument, "malformed message from a peer",
                                "run the same version on all instances");
    }
    const auto payload = read_payload(in);
    if (!payload.has_value()) {
        return core::make_error(core::error_kind::invalid_argument,
                                "message from a peer has no known payload",
                                "run the same version on all instances");
    }
    return envelope{{core::instance_name{in.from()}, core::incarnation{in.incarnation()}},
                    {core::instance_name{in.to()}, core::incarnation{in.to_incarnation()}},
                    *payload};
}

} // namespace cyclamen::peer
