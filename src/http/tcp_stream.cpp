#include "http/tcp_stream.hpp"

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>

#include "core/error.hpp"
#include "core/text.hpp"
#include "task/h2o.hpp"

namespace cyclamen::http {

namespace {

/// Maximum number of received bytes that the operating system holds for a connection. It would
/// otherwise grow them to tens of megabytes for a peer that sends faster than it is read.
constexpr int max_unread_bytes = 256 * 1024;

/// The same for an accepted connection: there are many of them, and a caller may send ahead.
constexpr int max_unread_accepted_bytes = 64 * 1024;

/// Maximum number of bytes that are written at a time, so that progress shows.
constexpr std::size_t max_write_bytes = 64 * 1024;

/// Maximum number of bytes that the operating system accepts beyond what the peer has room for.
constexpr int max_unsent_bytes = 128 * 1024;

/// Maximum number of bytes that are read at a time. Requests that a caller sends ahead stay with
/// the operating system.
constexpr std::size_t max_read_bytes = 256 * 1024;
constexpr std::size_t max_read_accepted_bytes = 16 * 1024;
constexpr std::size_t read_part_bytes = 16 * 1024;

/// Starts connecting.
/// @return descriptor of the socket, or -1 with errno set
int begin_connect(const core::socket_address& address)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        return -1;
    }
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(address.port);
    ::inet_pton(AF_INET, address.ip.c_str(), &to.sin_addr);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0 &&
        errno != EINPROGRESS) {
        const int problem = errno;
        ::close(descriptor);
        errno = problem;
        return -1;
    }
    return descriptor;
}

void set_options(int descriptor, core::duration unacknowledged_timeout, int unread_bytes)
{
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &unread_bytes, sizeof(unread_bytes));
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &max_unsent_bytes,
                 sizeof(max_unsent_bytes));
    const auto timeout_ms = static_cast<unsigned>(
        std::chrono::duration_cast<std::chrono::milliseconds>(unacknowledged_timeout).count());
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof(timeout_ms));
}

} // namespace

tcp_stream::tcp_stream(st_h2o_socket_t* accepted, core::duration unacknowledged_timeout,
                       stream_listener& listener)
    : tcp_stream{accepted, true, unacknowledged_timeout, listener}
{
}

tcp_stream::tcp_stream(st_h2o_socket_t* socket, bool connected,
                       core::duration unacknowledged_timeout, stream_listener& listener)
    : socket_{socket}, listener_{listener}, state_{std::make_unique<socket_state>()},
      max_read_bytes_{connected ? max_read_accepted_bytes : max_read_bytes}, connected_{connected}
{
    state_->stream = this;
    socket_->data = state_.get();
    set_options(h2o_socket_get_fd(socket_), unacknowledged_timeout,
                connected ? max_unread_accepted_bytes : max_unread_bytes);
}

absl::StatusOr<std::unique_ptr<tcp_stream>>
tcp_stream::connect(task::event_loop& loop, const core::socket_address& address,
                    core::duration unacknowledged_timeout, stream_listener& listener)
{
    const int descriptor = begin_connect(address);
    if (descriptor < 0) {
        return core::make_error(
            core::error_kind::unavailable,
            core::concat("can't connect to ", core::to_string(address), ": ", std::strerror(errno)),
            "free file descriptors, or try another target");
    }
    h2o_socket_t* socket = h2o_evloop_socket_create(
        loop.native(), descriptor, H2O_SOCKET_FLAG_IS_CONNECTING | H2O_SOCKET_FLAG_DONT_READ);
    h2o_socket_notify_write(socket, on_connected);
    return std::unique_ptr<tcp_stream>{
        new tcp_stream{socket, false, unacknowledged_timeout, listener}};
}

tcp_stream::~tcp_stream()
{
    if (state_->in_flight.empty()) {
        h2o_socket_close(socket_);
        return;
    }
    // A write is in progress, and its callback may be pending. h2o would free a socket that is
    // closed now before it calls the pending callbacks, so on_written() closes it. The shutdown
    // makes that happen at once even if the peer doesn't read.
    h2o_socket_read_stop(socket_);
    ::shutdown(h2o_socket_get_fd(socket_), SHUT_RDWR);
    state_->stream = nullptr;
    (void)state_.release();
}

void tcp_stream::write(std::string_view bytes)
{
    pending_.append(bytes);
    if (!pending_.empty() && connected_ && state_->in_flight.empty()) {
        send_pending();
    }
}

bool tcp_stream::is_acknowledged() const
{
    int unacknowledged = 0;
    return unsent() == 0 && ::ioctl(h2o_socket_get_fd(socket_), SIOCOUTQ, &unacknowledged) == 0 &&
           unacknowledged == 0;
}

bool tcp_stream::has_unread_bytes() const
{
    char byte = 0;
    return ::recv(h2o_socket_get_fd(socket_), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

core::socket_address tcp_stream::peer() const
{
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    std::array<char, INET_ADDRSTRLEN> text{};
    if (::getpeername(descriptor(), reinterpret_cast<sockaddr*>(&address), &size) != 0 ||
        ::inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size()) == nullptr) {
        return {};
    }
    return {text.data(), ntohs(address.sin_port)};
}

int tcp_stream::descriptor() const
{
    return h2o_socket_get_fd(socket_);
}

void tcp_stream::consume(std::size_t count)
{
    input_begin_ += count;
    if (input_begin_ == input_.size()) {
        // There may be thousands of connections, so an empty buffer keeps no memory.
        input_ = std::string{};
        input_begin_ = 0;
    }
}

void tcp_stream::start_reading()
{
    h2o_socket_read_start(socket_, on_readable);
}

void tcp_stream::stop_reading()
{
    h2o_socket_read_stop(socket_);
}

void tcp_stream::send_pending()
{
    state_->in_flight = pending_.take(max_write_bytes);
    std::vector<h2o_iovec_t> parts;
    parts.reserve(state_->in_flight.size());
    state_->in_flight_bytes = 0;
    for (std::string& each : state_->in_flight) {
        parts.push_back(h2o_iovec_init(each.data(), each.size()));
        state_->in_flight_bytes += each.size();
    }
    h2o_socket_write(socket_, parts.data(), parts.size(), on_written);
}

std::optional<close_reason> tcp_stream::receive()
{
    if (end_.has_value()) {
        return end_;
    }
    input_.erase(0, input_begin_);
    input_begin_ = 0;
    std::array<char, read_part_bytes> part{};
    std::size_t received = 0;
    while (received < max_read_bytes_) {
        const ssize_t count = ::recv(descriptor(), part.data(), part.size(), MSG_DONTWAIT);
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            break;
        }
        if (count <= 0) {
            end_ = count == 0 ? close_reason::closed : close_reason::broken;
            // What was received before the end is handled first; the end is notified again.
            return received > 0 ? std::nullopt : end_;
        }
        input_.append(part.data(), static_cast<std::size_t>(count));
        received += static_cast<std::size_t>(count);
        if (static_cast<std::size_t>(count) < part.size()) {
            break;
        }
    }
    return std::nullopt;
}

void tcp_stream::on_connected(st_h2o_socket_t* socket, const char* error)
{
    tcp_stream* self = static_cast<socket_state*>(socket->data)->stream;
    if (error != nullptr) {
        self->listener_.on_end(close_reason::broken);
        return;
    }
    self->connected_ = true;
    if (!self->pending_.empty()) {
        self->send_pending();
    }
    self->start_reading();
    self->listener_.on_connected();
}

void tcp_stream::on_readable(st_h2o_socket_t* socket, const char* /*error*/)
{
    tcp_stream* self = static_cast<socket_state*>(socket->data)->stream;
    if (self == nullptr) {
        return;
    }
    const std::optional<close_reason> end = self->receive();
    if (!end.has_value()) {
        self->listener_.on_bytes();
        return;
    }
    self->stop_reading();
    self->listener_.on_end(*end);
}

void tcp_stream::on_written(st_h2o_socket_t* socket, const char* error)
{
    auto* state = static_cast<socket_state*>(socket->data);
    tcp_stream* self = state->stream;
    if (self == nullptr) {
        const std::unique_ptr<socket_state> owned{state};
        h2o_socket_close(socket);
        return;
    }
    state->in_flight = {};
    state->in_flight_bytes = 0;
    if (error != nullptr) {
        self->stop_reading();
        self->listener_.on_end(close_reason::broken);
        return;
    }
    if (!self->pending_.empty()) {
        self->send_pending();
        self->listener_.on_progress();
        return;
    }
    self->listener_.on_sent();
}

} // namespace cyclamen::http
