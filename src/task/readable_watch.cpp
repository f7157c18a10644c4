#include "task/readable_watch.hpp"

#include <unistd.h>

#include "task/h2o.hpp"

namespace cyclamen::task {

readable_watch::readable_watch(event_loop& loop, int descriptor, std::function<void()> callback)
    // h2o closes the descriptor that it watches, so it gets a duplicate.
    : callback_{std::move(callback)}, socket_{h2o_evloop_socket_create(loop.native(),
                                                                       ::dup(descriptor),
                                                                       H2O_SOCKET_FLAG_DONT_READ)}
{
    socket_->data = this;
    h2o_socket_read_start(socket_, on_readable);
}

readable_watch::~readable_watch()
{
    h2o_socket_read_stop(socket_);
    h2o_socket_close(socket_);
}

void readable_watch::on_readable(st_h2o_socket_t* socket, const char* /*error*/)
{
    static_cast<readable_watch*>(socket->data)->callback_();
}

} // namespace cyclamen::task
