#include "task/basic_task.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "task/channel.hpp"
#include "task/ordered_sender.hpp"
#include "task/readable_watch.hpp"

using namespace cyclamen;

namespace {

constexpr core::duration max_wait = std::chrono::seconds{10};

/// Echoes every number that it receives, after a timer has fired.
class echo_task final : public task::basic_task<int> {
  public:
    echo_task(task::outbox_ptr<int> to, std::size_t capacity)
        : basic_task{"echo", capacity}, sender_{std::move(to), loop()}
    {
    }
    ~echo_task() override { stop(); }

  private:
    task::ordered_sender<int> sender_;

    void on_message(const int& message) override
    {
        loop().run_after(std::chrono::milliseconds{1}, [this, message] { sender_.send(message); });
    }
};

/// Fails to start.
class failing_task final : public task::basic_task<int> {
  public:
    failing_task() : basic_task{"failing"} {}

  private:
    absl::Status on_start() override
    {
        return core::make_error(core::error_kind::unavailable, "no socket", "free one");
    }
    void on_message(const int& /*message*/) override {}
};

/// Rejects the first messages, as a full mailbox does.
class full_outbox final : public task::outbox<int> {
  public:
    explicit full_outbox(std::shared_ptr<task::channel<int>> to) : to_{std::move(to)} {}
    absl::Status post(int message) override
    {
        constexpr int rejections = 3;
        if (rejected_ < rejections) {
            ++rejected_;
            return core::make_error(core::error_kind::overloaded, "full", "wait");
        }
        return to_->post(message);
    }

  private:
    std::shared_ptr<task::channel<int>> to_;
    int rejected_ = 0;
};

void check_in_order(task::channel<int>& received, int count)
{
    for (int i = 0; i < count; ++i) {
        const auto message = received.take(max_wait);
        BOOST_REQUIRE(message.has_value());
        BOOST_TEST(*message == i);
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(messages_wake_the_event_loop_and_arrive_in_order)
{
    const auto received = std::make_shared<task::channel<int>>();
    echo_task echo{received, 1000};
    BOOST_REQUIRE(echo.start().ok());
    constexpr int count = 200;
    for (int i = 0; i < count; ++i) {
        BOOST_REQUIRE(echo.inbox()->post(i).ok());
    }
    check_in_order(*received, count);
    echo.stop();
    BOOST_TEST((core::kind_of(echo.inbox()->post(1)) == core::error_kind::unavailable));
}

BOOST_AUTO_TEST_CASE(posting_to_a_full_mailbox_fails)
{
    echo_task echo{std::make_shared<task::channel<int>>(), 2};
    BOOST_TEST(echo.inbox()->post(1).ok());
    BOOST_TEST(echo.inbox()->post(2).ok());
    BOOST_TEST((core::kind_of(echo.inbox()->post(3)) == core::error_kind::overloaded));
}

BOOST_AUTO_TEST_CASE(an_ordered_sender_retries_messages_that_a_full_mailbox_rejected)
{
    const auto received = std::make_shared<task::channel<int>>();
    echo_task echo{std::make_shared<full_outbox>(received), 1000};
    BOOST_REQUIRE(echo.start().ok());
    constexpr int count = 20;
    for (int i = 0; i < count; ++i) {
        BOOST_REQUIRE(echo.inbox()->post(i).ok());
    }
    check_in_order(*received, count);
    echo.stop();
}

BOOST_AUTO_TEST_CASE(start_returns_the_error_of_on_start_and_ends_the_thread)
{
    failing_task failing;
    BOOST_TEST(!failing.start().ok());
    failing.stop();
}

namespace {

/// Blocks its thread while a message arrives and a timer expires.
class stalling_task final : public task::basic_task<int> {
  public:
    stalling_task(task::task_host& host, std::shared_ptr<task::channel<int>> received)
        : basic_task{"stalling", &host}, received_{std::move(received)}
    {
    }

  private:
    std::shared_ptr<task::channel<int>> received_;

    absl::Status on_start() override
    {
        // When the loop continues after the stall, the message and the timer are both pending.
        loop().run_after(std::chrono::milliseconds{20},
                         [this] { std::ignore = received_->post(2); });
        loop().run_after(std::chrono::milliseconds{5}, [this] {
            std::ignore = inbox()->post(1);
            const core::instant end = now() + std::chrono::milliseconds{40};
            while (now() < end) {
            }
        });
        return absl::OkStatus();
    }
    void on_message(const int& message) override { std::ignore = received_->post(message); }
};

} // namespace

BOOST_AUTO_TEST_CASE(after_a_stall_messages_come_before_timers)
{
    const auto received = std::make_shared<task::channel<int>>();
    task::task_host host;
    stalling_task stalling{host, received};
    host.add(stalling);
    BOOST_REQUIRE(host.start().ok());
    BOOST_TEST(received->take(max_wait).value_or(0) == 1);
    BOOST_TEST(received->take(max_wait).value_or(0) == 2);
    host.stop();
}

namespace {

constexpr int from_socket = 1;
constexpr int from_timer = 2;

/// Blocks its thread in a message while bytes arrive on a socket and a timer expires.
class stalling_reader final : public task::basic_task<int> {
  public:
    stalling_reader(task::task_host& host, std::shared_ptr<task::channel<int>> received)
        : basic_task{"stalling_reader", &host}, received_{std::move(received)}
    {
    }

  private:
    std::shared_ptr<task::channel<int>> received_;
    std::array<int, 2> sockets_{};
    std::unique_ptr<task::readable_watch> watch_;

    absl::Status on_start() override
    {
        BOOST_REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, sockets_.data()) == 0);
        watch_ = std::make_unique<task::readable_watch>(loop(), sockets_[0], [this] {
            char byte = 0;
            if (::recv(sockets_[0], &byte, 1, 0) == 1) {
                std::ignore = received_->post(from_socket);
            }
        });
        return absl::OkStatus();
    }
    void on_message(const int& /*message*/) override
    {
        loop().run_after(std::chrono::milliseconds{20},
                         [this] { std::ignore = received_->post(from_timer); });
        BOOST_REQUIRE(::send(sockets_[1], "x", 1, 0) == 1);
        std::this_thread::sleep_for(std::chrono::milliseconds{40});
    }
    void on_stop() override
    {
        watch_.reset();
        ::close(sockets_[0]);
        ::close(sockets_[1]);
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(bytes_that_arrive_during_a_stall_are_read_before_timers_run)
{
    const auto received = std::make_shared<task::channel<int>>();
    task::task_host host;
    stalling_reader stalling{host, received};
    host.add(stalling);
    BOOST_REQUIRE(host.start().ok());
    BOOST_REQUIRE(stalling.inbox()->post(1).ok());
    BOOST_TEST(received->take(max_wait).value_or(0) == from_socket);
    BOOST_TEST(received->take(max_wait).value_or(0) == from_timer);
    host.stop();
}
