#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "core/socket_address.hpp"

namespace cyclamen::test {

/// What the callers of a crowd send.
struct crowd_plan {
    std::size_t callers = 40;
    /// Bytes that a caller sends at most.
    std::size_t bytes_per_caller = 2 * 1024 * 1024;
    /// Bytes of a single write.
    std::size_t bytes_per_write = 64 * 1024;
    /// Sent once, before the rest.
    std::string opening;
    /// @return the next bytes of a caller, given its number and the number of earlier parts
    std::function<std::string(std::size_t caller, std::size_t part)> next;
};

/// Callers that never read. Their connections stay open until the crowd is destroyed.
class caller_crowd {
  public:
    caller_crowd() = default;
    ~caller_crowd()
    {
        for (const caller& each : callers_) {
            ::close(each.fd);
        }
    }
    caller_crowd(const caller_crowd&) = delete;
    caller_crowd& operator=(const caller_crowd&) = delete;

    /// Connects and sends until each caller has sent its bytes, was closed, or is no longer read.
    void send(const core::socket_address& to, const crowd_plan& plan)
    {
        using clock = std::chrono::steady_clock;
        for (std::size_t i = 0; i < plan.callers; ++i) {
            callers_.push_back(caller{connect(to), plan.opening});
        }
        const auto end = clock::now() + max_time;
        auto last_progress = clock::now();
        while (clock::now() < end && clock::now() - last_progress < stall_time) {
            bool open = false;
            bool progress = false;
            for (std::size_t i = 0; i < callers_.size(); ++i) {
                progress = send_some(callers_[i], i, plan) || progress;
                open = open || !callers_[i].done;
            }
            if (!open) {
                break;
            }
            if (progress) {
                last_progress = clock::now();
            }
            else {
                ::poll(nullptr, 0, pause_ms);
            }
        }
        ::poll(nullptr, 0, settle_ms);
    }

    /// Closes the connections for sending; they stay open for reading.
    void finish_sending()
    {
        for (const caller& each : callers_) {
            ::shutdown(each.fd, SHUT_WR);
        }
        ::poll(nullptr, 0, settle_ms);
    }

  private:
    /// Time without progress of any caller after which none is read any more.
    static constexpr std::chrono::milliseconds stall_time{500};
    static constexpr std::chrono::seconds max_time{8};
    static constexpr int pause_ms = 5;
    /// Time for the process to handle what it has received.
    static constexpr int settle_ms = 500;
    static constexpr int receive_buffer_bytes = 4096;

    struct caller {
        int fd;
        std::string unsent;
        std::size_t sent = 0;
        std::size_t parts = 0;
        bool done = false;
    };
    std::vector<caller> callers_;

    static int connect(const core::socket_address& to)
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes, sizeof receive_buffer_bytes);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(to.port);
        ::inet_pton(AF_INET, to.ip.c_str(), &address.sin_addr);
        (void)::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
        ::fcntl(fd, F_SETFL, O_NONBLOCK);
        return fd;
    }

    static bool send_some(caller& each, std::size_t number, const crowd_plan& plan)
    {
        if (each.done) {
            return false;
        }
        while (each.unsent.size() < plan.bytes_per_write && plan.next) {
            const std::string more = plan.next(number, each.parts++);
            if (more.empty()) {
                break;
            }
            each.unsent += more;
        }
        if (each.unsent.empty() || each.sent >= plan.bytes_per_caller) {
            each.done = true;
            return false;
        }
        const ssize_t count =
            ::send(each.fd, each.unsent.data(), std::min(each.unsent.size(), plan.bytes_per_write),
                   MSG_NOSIGNAL);
        if (count < 0) {
            each.done = errno != EAGAIN && errno != EWOULDBLOCK;
            return false;
        }
        each.sent += static_cast<std::size_t>(count);
        each.unsent.erase(0, static_cast<std::size_t>(count));
        return true;
    }
};

} // namespace cyclamen::test
