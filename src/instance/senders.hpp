#pragma once

#include "api/call_messages.hpp"
#include "api/caller_messages.hpp"
#include "api/engine_messages.hpp"
#include "api/peer_messages.hpp"
#include "api/table_messages.hpp"
#include "api/target_messages.hpp"
#include "task/ordered_sender.hpp"

namespace cyclamen::instance {

/// Senders from the components of the decision task to the tasks that own sockets. Used on the
/// decision task.
struct senders {
    task::ordered_sender<api::front_command> front;
    task::ordered_sender<api::engine_command> back;
    task::ordered_sender<api::peer_command> peers;
    task::ordered_sender<api::table_command> table;
    task::ordered_sender<api::target_command> status;
    task::ordered_sender<api::service_command> services;
};

} // namespace cyclamen::instance
