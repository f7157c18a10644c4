#include "peer/zap_handler.hpp"

#include <array>

#include <zmq_addon.hpp>

#include "core/log.hpp"

namespace cyclamen::peer {

namespace {

// Frames of a ZAP request, see https://rfc.zeromq.org/spec/27.
constexpr std::size_t version_frame = 0;
constexpr std::size_t request_id_frame = 1;
constexpr std::size_t address_frame = 3;
constexpr std::size_t mechanism_frame = 5;
constexpr std::size_t key_frame = 6;
constexpr std::size_t raw_key_bytes = 32;
constexpr std::size_t text_key_bytes = 41;

constexpr const char* zap_endpoint = "inproc://zeromq.zap.01";

} // namespace

zap_handler::zap_handler(zmq::context_t& context, task::event_loop& loop,
                         std::optional<std::set<std::string>> allowed)
    : allowed_{std::move(allowed)}, requests_{context, zmq::socket_type::rep},
      watch_{loop, requests_.get(zmq::sockopt::fd), [this] { answer_requests(); }}
{
    requests_.set(zmq::sockopt::linger, 0);
    requests_.bind(zap_endpoint);
}

void zap_handler::answer_requests()
{
    // The descriptor is edge-triggered, so all pending requests are read.
    while ((requests_.get(zmq::sockopt::events) & ZMQ_POLLIN) != 0) {
        std::vector<zmq::message_t> request;
        const auto received =
            zmq::recv_multipart(requests_, std::back_inserter(request), zmq::recv_flags::dontwait);
        if (!received.has_value()) {
            return;
        }
        answer(request);
    }
}

void zap_handler::answer(const std::vector<zmq::message_t>& request)
{
    const bool accepted = is_allowed(request);
    if (!accepted) {
        ++rejected_;
        core::log_event(
            core::log_level::warning, "peer_refused",
            {{"address", request.size() > address_frame ? request[address_frame].to_string_view()
                                                        : std::string_view{}}});
    }
    const std::string id =
        request.size() > request_id_frame ? request[request_id_frame].to_string() : std::string{};
    const std::array<zmq::const_buffer, 6> reply{
        zmq::str_buffer("1.0"),
        zmq::buffer(id),
        accepted ? zmq::str_buffer("200") : zmq::str_buffer("400"),
        accepted ? zmq::str_buffer("OK") : zmq::str_buffer("unknown key"),
        zmq::str_buffer("peer"),
        zmq::str_buffer("")};
    zmq::send_multipart(requests_, reply, zmq::send_flags::dontwait);
}

bool zap_handler::is_allowed(const std::vector<zmq::message_t>& request) const
{
    if (request.size() <= mechanism_frame || request[version_frame].to_string_view() != "1.0") {
        return false;
    }
    if (!allowed_.has_value()) {
        return request[mechanism_frame].to_string_view() == "NULL";
    }
    if (request.size() <= key_frame || request[mechanism_frame].to_string_view() != "CURVE" ||
        request[key_frame].size() != raw_key_bytes) {
        return false;
    }
    std::array<char, text_key_bytes> text{};
    zmq_z85_encode(text.data(), request[key_frame].data<std::uint8_t>(), raw_key_bytes);
    return allowed_->contains(std::string{text.data()});
}

} // namespace cyclamen::peer
