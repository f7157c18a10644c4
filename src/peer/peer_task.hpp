#pragma once

#include <map>
#include <memory>
#include <optional>

#include <zmq.hpp>

#include "api/peer_messages.hpp"
#include "peer/peer_codec.hpp"
#include "peer/peer_settings.hpp"
#include "peer/zap_handler.hpp"
#include "task/basic_task.hpp"
#include "task/ordered_sender.hpp"
#include "task/readable_watch.hpp"

namespace cyclamen::peer {

/// Owns the ZeroMQ sockets to other instances: sends the messages of the decision task and delivers
/// received ones to it. Makes no decisions. Never blocks: messages to a peer that is gone or slow
/// are dropped once its queue is full.
class peer_task final : public task::basic_task<api::peer_command> {
  public:
    /// @param settings settings of the task
    /// @param decisions inbox of the decision task
    /// @param host thread that the task runs on, or null for a thread of its own
    peer_task(peer_settings settings, task::outbox_ptr<api::peer_event> decisions,
              task::task_host* host = nullptr);
    ~peer_task() override;

  private:
    /// Connection to a peer.
    struct connection {
        zmq::socket_t socket;
        core::instant last_use;
    };

    const peer_settings settings_;
    task::ordered_sender<api::peer_event> decisions_;
    zmq::context_t context_;
    std::unique_ptr<zap_handler> zap_handler_;
    zmq::socket_t receiver_;
    std::unique_ptr<task::readable_watch> watch_;
    std::map<core::socket_address, connection> connections_;

    absl::Status on_start() override;
    void on_message(const api::peer_command& command) override;
    void on_stop() override;

    [[nodiscard]] absl::Status bind();
    void handle(const api::send_to_peers& command);
    void send(const api::peer_destination& recipient, const api::peer_message& message);
    [[nodiscard]] zmq::socket_t& connection_to(const core::socket_address& address);
    [[nodiscard]] zmq::socket_t connect(const core::socket_address& address);
    void close_idle_connections();
    void receive_pending();
    void receive(std::string_view bytes);
    [[nodiscard]] bool is_addressed_to_self(const api::peer_identity& recipient) const;
};

} // namespace cyclamen::peer
