#include "task/signals.hpp"

#include <unistd.h>

#include <csignal>
#include <ctime>

namespace cyclamen::task {

namespace {

sigset_t stop_signals()
{
    sigset_t set{};
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    return set;
}

sigset_t process_signals()
{
    sigset_t set = stop_signals();
    sigaddset(&set, SIGHUP);
    sigaddset(&set, SIGUSR1);
    return set;
}

} // namespace

void block_signals()
{
    const sigset_t set = process_signals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

void ignore_sigpipe()
{
    std::signal(SIGPIPE, SIG_IGN);
}

bool wait_for_stop_signal(core::duration max_wait)
{
    const sigset_t set = stop_signals();
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(max_wait);
    const timespec limit{seconds.count(), static_cast<long>((max_wait - seconds).count())};
    return sigtimedwait(&set, nullptr, &limit) > 0;
}

process_signal wait_for_signal()
{
    const sigset_t set = process_signals();
    while (true) {
        switch (sigwaitinfo(&set, nullptr)) {
        case SIGTERM:
        case SIGINT:
            return process_signal::stop;
        case SIGHUP:
            return process_signal::reload;
        case SIGUSR1:
            return process_signal::wake;
        default:
            // Interrupted by another signal; wait again.
            break;
        }
    }
}

void wake_signal_waiter()
{
    ::kill(::getpid(), SIGUSR1);
}

} // namespace cyclamen::task
