#pragma once

#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "core/text.hpp"
#include "soak/child_process.hpp"

namespace cyclamen::test {

/// A process of the system, with the memory and the descriptors that it uses.
class observed_process {
  public:
    /// @param arguments arguments of the program
    /// @param descriptors descriptor limit of the process
    /// @param log_file file to which its output is appended
    observed_process(const std::vector<std::string>& arguments, int descriptors,
                     const std::string& log_file)
        : process_{start(arguments, descriptors, log_file)}
    {
    }

    [[nodiscard]] bool is_alive() { return !process_.poll().has_value(); }

    /// Takes the memory in use now as that of the idle process.
    void set_idle() { idle_kb_ = status_kb("VmRSS:"); }

    /// @return the most memory that the process had, in MiB
    [[nodiscard]] long peak_mib() const { return status_kb("VmHWM:") / kb_per_mib; }

    /// @return the most memory that the process had, above what it had when idle, in MiB
    [[nodiscard]] long peak_above_idle_mib() const
    {
        return (status_kb("VmHWM:") - idle_kb_) / kb_per_mib;
    }

    [[nodiscard]] std::size_t open_descriptors() const
    {
        std::error_code error;
        const std::filesystem::directory_iterator open{proc("fd"), error};
        return static_cast<std::size_t>(std::distance(begin(open), end(open)));
    }

  private:
    static constexpr long kb_per_mib = 1024;

    soak::child_process process_;
    long idle_kb_ = 0;

    static soak::child_process start(const std::vector<std::string>& arguments, int descriptors,
                                     const std::string& log_file)
    {
        std::vector<std::string> command{
            "/bin/sh", "-c", core::concat("ulimit -n ", descriptors, " && exec \"$0\" \"$@\""),
            CYCLAMENCOURSE_PROGRAM};
        command.insert(command.end(), arguments.begin(), arguments.end());
        auto started = soak::child_process::start(command, log_file);
        BOOST_REQUIRE(started.ok());
        return *std::move(started);
    }

    [[nodiscard]] std::string proc(const char* file) const
    {
        return core::concat("/proc/", process_.id(), "/", file);
    }

    [[nodiscard]] long status_kb(const std::string& field) const
    {
        std::ifstream status{proc("status")};
        for (std::string word; status >> word;) {
            if (word == field) {
                long value = 0;
                status >> value;
                return value;
            }
        }
        return 0;
    }
};

} // namespace cyclamen::test
