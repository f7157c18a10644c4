#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

namespace cyclamen::soak {

/// A process started by the soak test. The destructor kills it.
class child_process {
  public:
    /// @param arguments program and its arguments
    /// @param output_file file to which standard output and standard error are appended
    /// @return the process, or unavailable if it can't be started
    [[nodiscard]] static absl::StatusOr<child_process>
    start(const std::vector<std::string>& arguments, const std::string& output_file);

    ~child_process();
    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&& other) noexcept;

    /// @return its process id
    [[nodiscard]] pid_t id() const { return pid_; }

    /// Sends a signal; has no effect if the process has ended.
    void send_signal(int signal_number);

    /// @return its wait status (see waitpid), empty while it runs
    [[nodiscard]] std::optional<int> poll();

  private:
    pid_t pid_;
    std::optional<int> wait_status_;

    explicit child_process(pid_t pid) : pid_{pid} {}
};

} // namespace cyclamen::soak
