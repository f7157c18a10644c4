#include "http/tcp_acceptor.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

#include "core/error.hpp"
#include "core/log.hpp"
#include "core/text.hpp"
#include "task/h2o.hpp"

namespace cyclamen::http {

namespace {

constexpr int listen_backlog = 1024;

/// Maximum connections accepted per iteration of the loop; further ones wait for the next.
constexpr int max_accepts_per_round = 64;

/// Delay before accepting again after file descriptors or memory ran out.
constexpr core::duration accept_retry_delay = std::chrono::milliseconds{100};

absl::Status socket_error(std::string_view step, const core::socket_address& address)
{
    return core::make_error(
        core::error_kind::unavailable,
        core::concat("can't ", step, " ", core::to_string(address), ": ", std::strerror(errno)),
        "choose a free address of this machine");
}

absl::StatusOr<int> open_listener(const core::socket_address& address)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return socket_error("open a socket for", address);
    }
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in bound{};
    bound.sin_family = AF_INET;
    bound.sin_port = htons(address.port);
    ::inet_pton(AF_INET, address.ip.c_str(), &bound.sin_addr);
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&bound), sizeof(bound)) != 0 ||
        ::listen(fd, listen_backlog) != 0) {
        const absl::Status status = socket_error("listen on", address);
        ::close(fd);
        return status;
    }
    return fd;
}

} // namespace

absl::StatusOr<std::unique_ptr<tcp_acceptor>>
tcp_acceptor::listen(task::event_loop& loop, const core::socket_address& address,
                     acceptor_listener& listener)
{
    const auto descriptor = open_listener(address);
    if (!descriptor.ok()) {
        return descriptor.status();
    }
    return std::unique_ptr<tcp_acceptor>{new tcp_acceptor{loop, *descriptor, listener}};
}

tcp_acceptor::tcp_acceptor(task::event_loop& loop, int descriptor, acceptor_listener& listener)
    : loop_{loop}, listener_{listener}, socket_{h2o_evloop_socket_create(loop.native(), descriptor,
                                                                         H2O_SOCKET_FLAG_DONT_READ)}
{
    socket_->data = this;
    h2o_socket_read_start(socket_, on_readable);
}

tcp_acceptor::~tcp_acceptor()
{
    loop_.cancel(retry_timer_);
    h2o_socket_read_stop(socket_);
    h2o_socket_close(socket_);
}

void tcp_acceptor::on_readable(h2o_socket_t* socket, const char* error)
{
    auto* self = static_cast<tcp_acceptor*>(socket->data);
    if (error != nullptr) {
        return;
    }
    for (int accepted = 0; accepted < max_accepts_per_round && self->accept_one(); ++accepted) {
    }
}

bool tcp_acceptor::accept_one()
{
    const int descriptor =
        ::accept4(h2o_socket_get_fd(socket_), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor < 0) {
        if (errno == EMFILE || errno == ENFILE || errno == ENOMEM) {
            pause();
        }
        return false;
    }
    listener_.on_accepted(h2o_evloop_socket_create(loop_.native(), descriptor,
                                                   H2O_SOCKET_FLAG_IS_ACCEPTED_CONNECTION |
                                                       H2O_SOCKET_FLAG_DONT_READ));
    return true;
}

void tcp_acceptor::accept_pending()
{
    for (int accepted = 0; accepted < listen_backlog && accept_one(); ++accepted) {
    }
}

void tcp_acceptor::pause()
{
    core::log_event(core::log_level::warning, "accept_paused", {{"reason", std::strerror(errno)}});
    h2o_socket_read_stop(socket_);
    retry_timer_ = loop_.run_after(accept_retry_delay,
                                   [this] { h2o_socket_read_start(socket_, on_readable); });
}

} // namespace cyclamen::http
