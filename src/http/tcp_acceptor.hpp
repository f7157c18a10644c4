#pragma once

#include <memory>

#include <absl/status/statusor.h>

#include "core/socket_address.hpp"
#include "task/event_loop.hpp"

struct st_h2o_socket_t;

namespace cyclamen::http {

/// Callbacks of tcp_acceptor, implemented by its owner. Called on the thread of the loop.
class acceptor_listener {
  public:
    virtual ~acceptor_listener() = default;

    /// @param accepted accepted socket, not being read yet, which h2o doesn't read itself; the
    ///        listener takes ownership
    virtual void on_accepted(st_h2o_socket_t* accepted) = 0;
};

/// Listens on an address and accepts TCP connections. It pauses when file descriptors run out, so
/// that open connections continue to be served.
class tcp_acceptor {
  public:
    /// Binds an address and starts listening.
    /// @param loop event loop of the owning task
    /// @param address address to listen on
    /// @param listener receives the connections; must outlive the acceptor
    /// @return the acceptor, or unavailable if the address can't be bound
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<tcp_acceptor>>
    listen(task::event_loop& loop, const core::socket_address& address,
           acceptor_listener& listener);

    /// Accepts all connections that are waiting to be accepted.
    void accept_pending();

    /// Stops listening; connections that are waiting to be accepted are reset.
    ~tcp_acceptor();
    tcp_acceptor(const tcp_acceptor&) = delete;
    tcp_acceptor& operator=(const tcp_acceptor&) = delete;

  private:
    task::event_loop& loop_;
    acceptor_listener& listener_;
    st_h2o_socket_t* socket_;
    task::timer_id retry_timer_;

    tcp_acceptor(task::event_loop& loop, int descriptor, acceptor_listener& listener);
    void pause();
    /// @return false if no connection was waiting
    bool accept_one();

    static void on_readable(st_h2o_socket_t* socket, const char* error);
};

} // namespace cyclamen::http
