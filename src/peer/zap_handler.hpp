#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <zmq.hpp>

#include "task/event_loop.hpp"
#include "task/readable_watch.hpp"

namespace cyclamen::peer {

/// Answers the authentication requests (ZAP, ZeroMQ Authentication Protocol) of the sockets of one
/// context: only peers whose CURVE public key is allowed may connect, or any peer if there are no
/// keys. With a handler, ZeroMQ ends connections that don't begin with the greeting of its
/// protocol; it would otherwise take their bytes for messages of its first version, and queue them.
/// Owned by the peer task and used on its thread.
class zap_handler {
  public:
    /// @param context context of the sockets; none of them may be bound yet
    /// @param loop event loop of the owning task
    /// @param allowed public keys that may connect, in Z85; empty for peers without keys
    zap_handler(zmq::context_t& context, task::event_loop& loop,
                std::optional<std::set<std::string>> allowed);

    /// @return number of rejected connections
    [[nodiscard]] std::uint64_t rejected() const { return rejected_; }

  private:
    const std::optional<std::set<std::string>> allowed_;
    zmq::socket_t requests_;
    std::uint64_t rejected_ = 0;
    task::readable_watch watch_;

    void answer_requests();
    void answer(const std::vector<zmq::message_t>& request);
    [[nodiscard]] bool is_allowed(const std::vector<zmq::message_t>& request) const;
};

} // namespace cyclamen::peer
