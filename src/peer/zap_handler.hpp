#pragma once

#include <memory>
#include <set>
#include <string>
#include <vector>

#include <zmq.hpp>

#include "task/event_loop.hpp"
#include "task/readable_watch.hpp"

namespace cyclamen::peer {

/// Answers the authentication requests (ZAP, ZeroMQ Authentication Protocol) of the sockets of one
/// context: only peers whose CURVE public key is allowed may connect. Owned by the peer task and
/// used on its thread.
class zap_handler {
  public:
    /// @param context context of the sockets; none of them may be bound yet
    /// @param loop event loop of the owning task
    /// @param allowed public keys that may connect, in Z85
    zap_handler(zmq::context_t& context, task::event_loop& loop, std::set<std::string> allowed);

    /// @return number of rejected connections
    [[nodiscard]] std::uint64_t rejected() const { return rejected_; }

  private:
    const std::set<std::string> allowed_;
    zmq::socket_t requests_;
    std::uint64_t rejected_ = 0;
    task::readable_watch watch_;

    void answer_requests();
    void answer(const std::vector<zmq::message_t>& request);
    [[nodiscard]] bool is_allowed(const std::vector<zmq::message_t>& request) const;
};

} // namespace cyclamen::peer
