#include "soak/child_process.hpp"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstring>
#include <utility>

#include "core/error.hpp"
#include "core/text.hpp"

namespace cyclamen::soak {

namespace {

constexpr pid_t no_process = -1;
constexpr mode_t log_mode = 0644;

} // namespace

absl::StatusOr<child_process> child_process::start(const std::vector<std::string>& arguments,
                                                   const std::string& output)
{
    std::vector<std::string> owned = arguments;
    std::vector<char*> pointers;
    for (std::string& each : owned) {
        pointers.push_back(each.data());
    }
    pointers.push_back(nullptr);
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, output.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, log_mode);
    posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    // The soak blocks signals that it waits for; the program decides about its own.
    posix_spawnattr_t attributes;
    posix_spawnattr_init(&attributes);
    sigset_t none;
    sigemptyset(&none);
    posix_spawnattr_setsigmask(&attributes, &none);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
    pid_t id = no_process;
    const int failure =
        ::posix_spawn(&id, pointers[0], &files, &attributes, pointers.data(), environ);
    posix_spawnattr_destroy(&attributes);
    posix_spawn_file_actions_destroy(&files);
    if (failure != 0) {
        return core::make_error(
            core::error_kind::unavailable,
            core::concat("can't start ", arguments[0], ": ", std::strerror(failure)),
            "check that it can be run and that processes are left");
    }
    return child_process{id};
}

child_process::~child_process()
{
    if (id_ != no_process && !poll().has_value()) {
        ::kill(id_, SIGKILL);
        ::waitpid(id_, nullptr, 0);
    }
}

child_process::child_process(child_process&& other) noexcept
    : id_{std::exchange(other.id_, no_process)}, ended_{other.ended_}
{
}

child_process& child_process::operator=(child_process&& other) noexcept
{
    std::swap(id_, other.id_);
    std::swap(ended_, other.ended_);
    return *this;
}

void child_process::send_signal(int number)
{
    if (!poll().has_value()) {
        ::kill(id_, number);
    }
}

std::optional<int> child_process::poll()
{
    int status = 0;
    if (!ended_.has_value() && ::waitpid(id_, &status, WNOHANG) == id_) {
        ended_ = status;
    }
    return ended_;
}

} // namespace cyclamen::soak
