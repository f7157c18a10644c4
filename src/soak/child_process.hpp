#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

namespace cyclamen::soak {

/// A process that the soak has started. It is killed with this object.
class child_process {
  public:
    /// @param arguments program and its arguments
    /// @param output file that standard output and standard error are added to
    /// @return the process, or unavailable where it can't be started
    [[nodiscard]] static absl::StatusOr<child_process>
    start(const std::vector<std::string>& arguments, const std::string& output_file);

    ~child_process();
    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&& other) noexcept;

    /// Sends a signal; no effect where it has ended.
    void send_signal(int signal_number);

    /// @return how it has ended, as waitpid tells it; empty while it runs
    [[nodiscard]] std::optional<int> poll();

  private:
    pid_t pid_;
    std::optional<int> wait_status_;

    explicit child_process(pid_t pid) : pid_{pid} {}
};

} // namespace cyclamen::soak
