#include "peer/peer_task.hpp"

#include "core/log.hpp"
#include "core/text.hpp"

namespace cyclamen::peer {

namespace {

constexpr int io_threads = 1;
constexpr int reconnect_ms = 100;
constexpr int longest_reconnect_ms = 2000;
/// Connections that went silent are found by ZeroMQ's own heartbeat.
constexpr int heartbeat_ms = 2000;
constexpr int heartbeat_timeout_ms = 4000;
constexpr core::duration idle_limit = std::chrono::seconds{20};
constexpr core::duration idle_check_period = std::chrono::seconds{5};
/// Messages taken in one round, so that timers and sending get their turn.
constexpr int most_in_a_round = 1000;

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
        return core::make_error(
            core::error_kind::invalid_argument,
            core::concat("peers at ", core::to_string(settings_.listen), " have no keys"),
            "set peer_keys in the settings, or listen on loopback");
    }
    if (settings_.keys.has_value()) {
        gate_ = std::make_unique<gatekeeper>(context_, loop(), set_of(settings_.keys->allowed));
    }
    const absl::Status bound = bind();
    if (!bound.ok()) {
        on_stop();
        return bound;
    }
    watch_ = std::make_unique<task::readable_watch>(loop(), arrivals_.get(zmq::sockopt::fd),
                                                    [this] { receive_waiting(); });
    // Changes before the watch began are not reported again.
    loop().run_after(core::duration::zero(), [this] { receive_waiting(); });
    loop().run_every(idle_check_period, [this] { close_idle(); });
    return absl::OkStatus();
}

absl::Status peer_task::bind()
{
    try {
        arrivals_ = zmq::socket_t{context_, zmq::socket_type::pull};
        arrivals_.set(zmq::sockopt::linger, 0);
        arrivals_.set(zmq::sockopt::rcvhwm, settings_.most_waiting);
        arrivals_.set(zmq::sockopt::maxmsgsize,
                      static_cast<std::int64_t>(settings_.most_message_bytes));
        arrivals_.set(zmq::sockopt::heartbeat_ivl, heartbeat_ms);
        arrivals_.set(zmq::sockopt::heartbeat_timeout, heartbeat_timeout_ms);
        if (settings_.keys.has_value()) {
            arrivals_.set(zmq::sockopt::zap_domain, "peers");
            arrivals_.set(zmq::sockopt::curve_server, true);
            arrivals_.set(zmq::sockopt::curve_secretkey, settings_.keys->secret_key);
        }
        arrivals_.bind(endpoint_of(settings_.listen));
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
    std::visit([this](const auto& each) { handle(each); }, command);
}

void peer_task::on_stop()
{
    watch_.reset();
    connections_.clear();
    arrivals_.close();
    gate_.reset();
}

void peer_task::handle(const api::send_to_peers& command)
{
    for (const api::peer_destination& to : command.to) {
        send(to, command.message);
    }
}

void peer_task::send(const api::peer_destination& to, const api::peer_message& message)
{
    const std::string bytes =
        encode(envelope{{settings_.name, settings_.life}, to.identity, message});
    try {
        const auto sent =
            connection_to(to.address).send(zmq::buffer(bytes), zmq::send_flags::dontwait);
        if (!sent.has_value()) {
            core::log_event(
                core::log_level::debug, "peer_message_dropped",
                {{"peer", to.identity.name.str()}, {"address", core::to_string(to.address)}});
        }
    }
    catch (const zmq::error_t& error) {
        core::log_event(core::log_level::warning, "peer_unreachable",
                        {{"peer", to.identity.name.str()},
                         {"address", core::to_string(to.address)},
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
    socket.set(zmq::sockopt::sndhwm, settings_.most_waiting);
    socket.set(zmq::sockopt::reconnect_ivl, reconnect_ms);
    socket.set(zmq::sockopt::reconnect_ivl_max, longest_reconnect_ms);
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

void peer_task::close_idle()
{
    const core::instant current = now();
    std::erase_if(connections_,
                  [&](const auto& each) { return current - each.second.last_use > idle_limit; });
}

void peer_task::receive_waiting()
{
    // The descriptor reports changes only: go on until nothing waits, or come back.
    for (int taken = 0; taken < most_in_a_round; ++taken) {
        zmq::message_t arrived;
        const auto received = arrivals_.recv(arrived, zmq::recv_flags::dontwait);
        if (!received.has_value()) {
            return;
        }
        receive(arrived.to_string_view());
    }
    loop().run_after(core::duration::zero(), [this] { receive_waiting(); });
}

void peer_task::receive(std::string_view bytes)
{
    const auto decoded = decode(bytes);
    if (!decoded.ok()) {
        core::log_event(core::log_level::warning, "peer_message_refused",
                        {{"problem", std::string{decoded.status().message()}}});
        return;
    }
    if (is_for_me(decoded->to)) {
        decisions_.send(api::peer_received{decoded->from, decoded->message});
    }
}

bool peer_task::is_for_me(const api::peer_identity& to) const
{
    const bool name_fits = to.name.empty() || to.name == settings_.name;
    const bool life_fits =
        to.incarnation == core::incarnation{} || to.incarnation == settings_.life;
    return name_fits && life_fits;
}

} // namespace cyclamen::peer
