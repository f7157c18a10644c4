#pragma once

#include <compare>
#include <map>
#include <memory>

#include "core/socket_address.hpp"
#include "http/tcp_acceptor.hpp"
#include "task/basic_task.hpp"

namespace cyclamen::soak {

/// What a proxy does to the connections that go through it.
enum class proxy_mode {
    pass,
    /// Bytes arrive later.
    delay,
    /// Connections are closed at once, those that are open and new ones.
    reset,
    /// No bytes pass until the mode ends.
    cut,
    /// No bytes pass back to who has connected.
    one_way,
};

/// Changes what a proxy does.
struct set_proxy_mode {
    const proxy_mode mode;

    auto operator<=>(const set_proxy_mode&) const = default;
};

/// Forwards TCP connections on loopback, and harms them on order.
class fault_proxy final : public task::basic_task<set_proxy_mode>, private http::acceptor_listener {
  public:
    /// @param listen where to listen
    /// @param destination where connections lead
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
