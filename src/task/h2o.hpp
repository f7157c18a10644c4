#pragma once

// The only file that includes the h2o headers; it selects h2o's epoll event loop.
#ifndef H2O_USE_EPOLL
#define H2O_USE_EPOLL 1
#endif

#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wpedantic"
#pragma GCC diagnostic ignored "-Wunused-parameter"
#pragma GCC diagnostic ignored "-Wsign-compare"
extern "C" {
#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http1client.h>
}
#pragma GCC diagnostic pop
