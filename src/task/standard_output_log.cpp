#include "task/standard_output_log.hpp"

#include <poll.h>
#include <unistd.h>

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include <spdlog/sinks/base_sink.h>

#include "core/log.hpp"
#include "core/text.hpp"

namespace cyclamen::task {

namespace {

/// A write of up to this many bytes to a pipe that poll() reports as writable never blocks
/// (PIPE_BUF on Linux). Longer lines are truncated.
constexpr std::size_t max_line_bytes = 4096;

/// Log sink that limits the rate of each event and drops lines instead of blocking.
class bounded_sink final : public spdlog::sinks::base_sink<std::mutex> {
  public:
    explicit bounded_sink(log_limits limits) : limits_{limits} {}

  private:
    using second = std::chrono::time_point<std::chrono::system_clock, std::chrono::seconds>;

    const log_limits limits_;
    second current_second_{};
    std::map<std::string, std::size_t, std::less<>> lines_per_event_;
    std::size_t unwritten_lines_ = 0;

    void sink_it_(const spdlog::details::log_msg& message) override
    {
        const auto now = std::chrono::time_point_cast<std::chrono::seconds>(message.time);
        if (now != current_second_) {
            report_omitted_lines();
            current_second_ = now;
            lines_per_event_.clear();
        }
        const std::string_view text{message.payload.data(), message.payload.size()};
        const std::string_view event = text.substr(0, text.find(' '));
        auto found = lines_per_event_.find(event);
        if (found == lines_per_event_.end()) {
            found = lines_per_event_.emplace(event, 0).first;
        }
        if (++found->second > limits_.max_lines_per_event) {
            return;
        }
        spdlog::memory_buf_t line;
        formatter_->format(message, line);
        write_line(std::string_view{line.data(), line.size()});
    }

    void flush_() override {}

    void report_omitted_lines()
    {
        for (const auto& [event, count] : lines_per_event_) {
            if (count > limits_.max_lines_per_event) {
                write_line(core::concat("level=warning event=log_lines_left_out of=\"", event,
                                        "\" count=", count - limits_.max_lines_per_event,
                                        " reason=rate\n"));
            }
        }
        if (unwritten_lines_ > 0) {
            const std::size_t count = unwritten_lines_;
            unwritten_lines_ = 0;
            write_line(core::concat("level=warning event=log_lines_left_out of=all count=", count,
                                    " reason=unread\n"));
        }
    }

    void write_line(std::string_view line)
    {
        std::string shortened;
        if (line.size() > max_line_bytes) {
            shortened = core::concat(line.substr(0, max_line_bytes - 1), "\n");
            line = shortened;
        }
        pollfd output{STDOUT_FILENO, POLLOUT, 0};
        if (::poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0 ||
            ::write(STDOUT_FILENO, line.data(), line.size()) < 0) {
            ++unwritten_lines_;
        }
    }
};

} // namespace

void log_to_standard_output(const log_limits& limits)
{
    core::redirect_log(std::make_shared<bounded_sink>(limits));
}

} // namespace cyclamen::task
