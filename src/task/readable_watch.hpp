#pragma once

#include <functional>

#include "task/event_loop.hpp"

struct st_h2o_socket_t;

namespace cyclamen::task {

/// Calls a function whenever a file descriptor that is owned elsewhere, such as by a library,
/// becomes readable. Neither reads from the descriptor nor closes it. Constructed and destroyed on
/// the thread of the loop, while the loop is open.
class readable_watch {
  public:
    /// @param loop event loop of the owning task
    /// @param descriptor the file descriptor to watch
    /// @param callback called on the thread of the loop; must not destroy the watch
    readable_watch(event_loop& loop, int descriptor, std::function<void()> callback);
    ~readable_watch();
    readable_watch(const readable_watch&) = delete;
    readable_watch& operator=(const readable_watch&) = delete;

  private:
    std::function<void()> callback_;
    st_h2o_socket_t* socket_;

    static void on_readable(st_h2o_socket_t* socket, const char* error);
};

} // namespace cyclamen::task
