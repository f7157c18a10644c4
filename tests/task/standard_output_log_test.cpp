#include "task/standard_output_log.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <string>

#include <boost/test/unit_test.hpp>

#include "core/log.hpp"
#include "core/text.hpp"

using namespace cyclamen;

namespace {

/// Redirects standard output to a pipe for its own lifetime.
class captured_output {
  public:
    captured_output()
    {
        BOOST_REQUIRE(::pipe(ends_.data()) == 0);
        ::fcntl(ends_[0], F_SETFL, O_NONBLOCK);
        original_output_ = ::dup(STDOUT_FILENO);
        ::dup2(ends_[1], STDOUT_FILENO);
    }
    ~captured_output()
    {
        ::dup2(original_output_, STDOUT_FILENO);
        ::close(original_output_);
        ::close(ends_[0]);
        ::close(ends_[1]);
    }
    captured_output(const captured_output&) = delete;
    captured_output& operator=(const captured_output&) = delete;

    std::string read()
    {
        std::string text;
        std::array<char, 4096> part{};
        for (auto count = ::read(ends_[0], part.data(), part.size()); count > 0;
             count = ::read(ends_[0], part.data(), part.size())) {
            text.append(part.data(), static_cast<std::size_t>(count));
        }
        return text;
    }

  private:
    std::array<int, 2> ends_{};
    int original_output_ = -1;
};

} // namespace

BOOST_AUTO_TEST_CASE(logging_is_rate_limited_per_event_and_never_blocks_on_unread_output)
{
    constexpr int lines = 20000;
    captured_output output;
    task::log_to_standard_output(task::log_limits{.max_lines_per_event = 50});
    for (int i = 0; i < lines; ++i) {
        core::log_event(core::log_level::info, "often", {{"number", i}});
    }
    const std::string captured = output.read();
    BOOST_TEST(captured.find("event=often number=0") != std::string::npos);
    // The limit applies per second, and the loop may take several seconds.
    BOOST_TEST(std::count(captured.begin(), captured.end(), '\n') < lines / 10);
    task::log_to_standard_output(task::log_limits{.max_lines_per_event = lines});
    for (int i = 0; i < lines; ++i) {
        core::log_event(core::log_level::info, core::concat("unread_", i),
                        {{"pad", std::string(200, 'x')}});
    }
    BOOST_TEST(output.read().size() < 200U * lines);
}
