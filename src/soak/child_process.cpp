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
                                                   const std::string& output_file)
{
    std::vector<std::string> argument_texts = arguments;
    std::vector<char*> pointers;
    for (std::string& argument : argument_texts) {
        pointers.push_back(argument.data());
    }
    pointers.push_back(nullptr);
    posix_spawn_file_actions_t file_actions;
    posix_spawn_file_actions_init(&file_actions);
    posix_spawn_file_actions_addopen(&file_actions, STDOUT_FILENO, output_file.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, log_mode);
    posix_spawn_file_actions_adddup2(&file_actions, STDOUT_FILENO, STDERR_FILENO);
    // The soak test blocks the signals that it waits for. The child starts with none blocked.
    posix_spawnattr_t attributes;
    posix_spawnattr_init(&attributes);
    sigset_t no_signals;
    sigemptyset(&no_signals);
    posix_spawnattr_setsigmask(&attributes, &no_signals);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
    pid_t pid = no_process;
    const int failure =
        ::posix_spawn(&pid, pointers[0], &file_actions, &attributes, pointers.data(), environ);
    posix_spawnattr_destroy(&attributes);
    posix_spawn_file_actions_destroy(&file_actions);
    if (failure != 0) {
        return core::make_error(
            core::error_kind::unavailable,
            core::concat("can't start ", arguments[0], ": ", std::strerror(failure)),
            "check that the file is executable and that the process limit is not reached");
    }
    return child_process{pid};
}

child_process::~child_process()
{
    if (pid_ != no_process && !poll().has_value()) {
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
    }
}

child_process::child_process(child_process&& other) noexcept
    : pid_{std::exchange(other.pid_, no_process)}, wait_status_{other.wait_status_}
{
}

child_process& child_process::operator=(child_process&& other) noexcept
{
    std::swap(pid_, other.pid_);
    std::swap(wait_status_, other.wait_status_);
    return *this;
}

void child_process::send_signal(int signal_number)
{
    if (!poll().has_value()) {
        ::kill(pid_, signal_number);
    }
}

std::optional<int> child_process::poll()
{
    int status = 0;
    if (!wait_status_.has_value() && ::waitpid(pid_, &status, WNOHANG) == pid_) {
        wait_status_ = status;
    }
    return wait_status_;
}

} // namespace cyclamen::soak
