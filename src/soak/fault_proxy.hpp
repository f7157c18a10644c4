#pragma once

#include <compare>
#include <map>
#include <memory>

#include "core/socket_address.hpp"
#include "http/tcp_acceptor.hpp"
#include "task/basic_task.hpp"

namespace cyclamen::soak {

/// How a proxy treats the connections that pass through it.
enum class proxy_mode {
    /// Bytes are forwarded at once.
    pass,
    /// Bytes are forwarded with a delay.
    delay,
    /// Open and new connections are closed at once.
    reset,
    /// No bytes are forwarded until the mode changes.
    cut,
    /// No bytes are forwarded to the client of a connection.
    one_way,
};

/// Changes the mode of a proxy.
struct set_proxy_mode {
    const proxy_mode mode;

    auto operator<=>(const set_proxy_mode&) const = default;
};

/// TCP proxy on loopback that delays, blocks or closes its connections on request.
class fault_proxy final : public task::basic_task<set_proxy_mode>, private http::acceptor_listener {
  public:
    /// @param listen address to listen on
    /// @param destination address to which connections are forwarded
    fault_proxy(core::socket_address listen, core::socket_address destination);
    ~fault_proxy() override;

  private:
    class connection_pair;

    const core::socket_address listen_;
    const core::socket_address destination_;
    proxy_mode mode_ = proxy_mode::pass;
    std::unique_ptr<http::tcp_acceptor> acceptor_;
    std::map<std::uint64_t, std::unique_ptr<connection_pair>> pairs_;
    std::uint64_t last_pair_ = 0;

    absl::Status on_start() override;
    void on_message(const set_proxy_mode& command) override;
    void on_stop() override;
    void on_accepted(st_h2o_socket_t* accepted) override;
    void remove_pair(std::uint64_t number);
};

} // namespace cyclamen::soak
