#include "peer/peer_task.hpp"

#include "core/log.hpp"
#include "core/text.hpp"

namespace cyclamen::peer {

namespace {

constexpr int io_threads = 1;
constexpr int reconnect_ms = 100;
constexpr int max_reconnect_ms = 2000;
/// Unresponsive connections are detected by ZeroMQ's heartbeat.
constexpr int heartbeat_ms = 2000;
constexpr int heartbeat_timeout_ms = 4000;
constexpr core::duration idle_timeout = std::chrono::seconds{20};
constexpr core::duration idle_check_interval = std::chrono::seconds{5};
/// Maximum messages received per round, so that timers and sends are not delayed.
constexpr int max_messages_per_round = 1000;

std::string endpoint_of(const core::socket_address& address)
{
    return core::concat("tcp://", core::to_string(address));
}

std::set<std::string> set_of(const std::vector<std::string>& keys)
{
    return {keys.begin(), keys.end()};
}

} // namespace

peer_task::peer_task(peer_settings settings, task::outbox_ptr<api::peer_event> decisions,
                     task::task_host* host)
    : basic_task{"peers", host}, settings_{std::move(settings)},
      decisions_{std::move(decisions), loop()}, context_{io_threads}
{
}

peer_task::~peer_task()
{
    stop();
}

absl::Status peer_task::on_start()
{
    if (!settings_.keys.has_value() && !settings_.listen.ip.starts_with("127.")) {
        return core::make_error(core::error_kind::invalid_argument,
                                core::concat("listening for peers on ",
                                             core::to_string(settings_.listen), " requires keys"),
                                "set peer_keys in the settings, or listen on loopback");
    }
    zap_handler_ = std::make_unique<zap_handler>(
        context_, loop(),
        settings_.keys.has_value() ? std::optional{set_of(settings_.keys->allowed)} : std::nullopt);
    const absl::Status bound = bind();
    if (!bound.ok()) {
        on_stop();
        return bound;
    }
    watch_ = std::make_unique<task::readable_watch>(loop(), receiver_.get(zmq::sockopt::fd),
                                                    [this] { receive_pending(); });
    // Messages that arrived before the watch began are not reported by it.
    loop().run_after(core::duration::zero(), [this] { receive_pending(); });
    loop().run_every(idle_check_interval, [this] { close_idle_connections(); });
    return absl::OkStatus();
}

absl::Status peer_task::bind()
{
    try {
        receiver_ = zmq::socket_t{context_, zmq::socket_type::pull};
        receiver_.set(zmq::sockopt::linger, 0);
        receiver_.set(zmq::sockopt::rcvhwm, settings_.max_pending_messages);
        receiver_.set(zmq::sockopt::maxmsgsize,
                      static_cast<std::int64_t>(settings_.max_message_bytes));
        receiver_.set(zmq::sockopt::heartbeat_ivl, heartbeat_ms);
        receiver_.set(zmq::sockopt::heartbeat_timeout, heartbeat_timeout_ms);
        receiver_.set(zmq::sockopt::zap_domain, "peers");
        if (settings_.keys.has_value()) {
            receiver_.set(zmq::sockopt::curve_server, true);
            receiver_.set(zmq::sockopt::curve_secretkey, settings_.keys->secret_key);
        }
        receiver_.bind(endpoint_of(settings_.listen));
        return absl::OkStatus();
    }
    catch (const zmq::error_t& error) {
        return core::make_error(
            core::error_kind::unavailable,
            core::concat("can't listen for peers on ", core::to_string(settings_.listen), ": ",
                         error.what()),
            "set peer_listen to a free address of this machine, and valid keys");
    }
}

void peer_task::on_message(const api::peer_command& command)
{
    std::visit([this](const auto& message) { handle(message); }, command);
}

void peer_task::on_stop()
{
    watch_.reset();
    connections_.clear();
    receiver_.close();
    zap_handler_.reset();
}

void peer_task::handle(const api::send_to_peers& command)
{
    for (const api::peer_destination& recipient : command.to) {
        send(recipient, command.message);
    }
}

void peer_task::send(const api::peer_destination& recipient, const api::peer_message& message)
{
    const std::string bytes =
        encode(envelope{{settings_.name, settings_.incarnation}, recipient.identity, message});
    try {
        const auto sent =
            connection_to(recipient.address).send(zmq::buffer(bytes), zmq::send_flags::dontwait);
        if (!sent.has_value()) {
            core::log_event(core::log_level::debug, "peer_message_dropped",
                            {{"peer", recipient.identity.name.str()},
                             {"address", core::to_string(recipient.address)}});
        }
    }
    catch (const zmq::error_t& error) {
        core::log_event(core::log_level::warning, "peer_unreachable",
                        {{"peer", recipient.identity.name.str()},
                         {"address", core::to_string(recipient.address)},
                         {"problem", error.what()}});
    }
}

zmq::socket_t& peer_task::connection_to(const core::socket_address& address)
{
    auto found = connections_.find(address);
    if (found == connections_.end()) {
        found = connections_.emplace(address, connection{connect(address), now()}).first;
    }
    found->second.last_use = now();
    return found->second.socket;
}

zmq::socket_t peer_task::connect(const core::socket_address& address)
{
    zmq::socket_t socket{context_, zmq::socket_type::push};
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, settings_.max_pending_messages);
    socket.set(zmq::sockopt::reconnect_ivl, reconnect_ms);
    socket.set(zmq::sockopt::reconnect_ivl_max, max_reconnect_ms);
    socket.set(zmq::sockopt::heartbeat_ivl, heartbeat_ms);
    socket.set(zmq::sockopt::heartbeat_timeout, heartbeat_timeout_ms);
    if (settings_.keys.has_value()) {
        socket.set(zmq::sockopt::curve_serverkey, settings_.keys->peers_key);
        socket.set(zmq::sockopt::curve_publickey, settings_.keys->public_key);
        socket.set(zmq::sockopt::curve_secretkey, settings_.keys->secret_key);
    }
    socket.connect(endpoint_of(address));
    return socket;
}

void peer_task::close_idle_connections()
{
    const core::instant current_time = now();
    std::erase_if(connections_, [&](const auto& entry) {
        return current_time - entry.second.last_use > idle_timeout;
    });
}

void peer_task::receive_pending()
{
    // The descriptor is edge-triggered, so all pending messages are read; what exceeds one round is
    // read in the next.
    for (int taken = 0; taken < max_messages_per_round; ++taken) {
        zmq::message_t message;
        const auto received = receiver_.recv(message, zmq::recv_flags::dontwait);
        if (!received.has_value()) {
            return;
        }
        receive(message.to_string_view());
    }
    loop().run_after(core::duration::zero(), [this] { receive_pending(); });
}

void peer_task::receive(std::string_view bytes)
{
    const auto decoded = decode(bytes);
    if (!decoded.ok()) {
        core::log_event(core::log_level::warning, "peer_message_refused",
                        {{"problem", std::string{decoded.status().message()}}});
        return;
    }
    if (is_addressed_to_self(decoded->to)) {
        decisions_.send(api::peer_received{decoded->from, decoded->message});
    }
}

bool peer_task::is_addressed_to_self(const api::peer_identity& recipient) const
{
    const bool name_matches = recipient.name.empty() || recipient.name == settings_.name;
    const bool incarnation_matches = recipient.incarnation == core::incarnation{} ||
                                     recipient.incarnation == settings_.incarnation;
    return name_matches && incarnation_matches;
}

} // namespace cyclamen::peer
