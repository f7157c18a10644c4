#include "http/tcp_stream.hpp"

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

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

/// Releases the memory of an empty buffer, unless it is small.
void release(std::string& empty)
{
    if (empty.capacity() > max_write_bytes) {
        empty = std::string{};
    }
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
    : socket_{socket}, listener_{listener}, state_{std::make_unique<socket_state>()}, connected_{
                                                                                          connected}
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
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(address.port);
    ::inet_pton(AF_INET, address.ip.c_str(), &to.sin_addr);
    h2o_socket_t* socket = h2o_socket_connect(loop.native(), reinterpret_cast<sockaddr*>(&to),
                                              sizeof(to), on_connected);
    if (socket == nullptr) {
        return core::make_error(
            core::error_kind::unavailable,
            core::concat("can't connect to ", core::to_string(address), ": ", std::strerror(errno)),
            "free file descriptors, or try another target");
    }
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

std::string_view tcp_stream::input() const
{
    return {socket_->input->bytes, socket_->input->size};
}

void tcp_stream::consume(std::size_t count)
{
    h2o_buffer_consume(&socket_->input, count);
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
    const std::size_t remaining = pending_.size() - pending_begin_;
    if (pending_begin_ == 0 && remaining <= max_write_bytes) {
        state_->in_flight.swap(pending_);
    }
    else {
        const std::size_t size = std::min(remaining, max_write_bytes);
        state_->in_flight.assign(pending_, pending_begin_, size);
        pending_begin_ += size;
        // Erasing at half of the text keeps the cost proportional to its size.
        if (pending_begin_ >= pending_.size() / 2) {
            pending_.erase(0, pending_begin_);
            pending_begin_ = 0;
            if (pending_.empty()) {
                release(pending_);
            }
        }
    }
    h2o_iovec_t bytes = h2o_iovec_init(state_->in_flight.data(), state_->in_flight.size());
    h2o_socket_write(socket_, &bytes, 1, on_written);
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

void tcp_stream::on_readable(st_h2o_socket_t* socket, const char* error)
{
    tcp_stream* self = static_cast<socket_state*>(socket->data)->stream;
    if (self == nullptr) {
        return;
    }
    if (error == nullptr) {
        self->listener_.on_bytes();
        return;
    }
    self->stop_reading();
    self->listener_.on_end(error == h2o_socket_error_closed ? close_reason::closed
                                                            : close_reason::broken);
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
    state->in_flight.clear();
    release(state->in_flight);
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
