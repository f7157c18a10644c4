#include "task/basic_task.hpp"

#include <boost/test/unit_test.hpp>

#include "task/channel.hpp"
#include "task/ordered_sender.hpp"

using namespace cyclamen;

namespace {

constexpr core::duration longest_wait = std::chrono::seconds{10};

/// Posts back every number that it hears, after a timer has fired.
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

/// Refuses the first messages, as a full mailbox does.
class full_outbox final : public task::outbox<int> {
  public:
    explicit full_outbox(std::shared_ptr<task::channel<int>> to) : to_{std::move(to)} {}
    absl::Status post(int message) override
    {
        constexpr int refusals = 3;
        if (refused_ < refusals) {
            ++refused_;
            return core::make_error(core::error_kind::overloaded, "full", "wait");
        }
        return to_->post(message);
    }

  private:
    std::shared_ptr<task::channel<int>> to_;
    int refused_ = 0;
};

void check_in_order(task::channel<int>& heard, int count)
{
    for (int i = 0; i < count; ++i) {
        const auto message = heard.take(longest_wait);
        BOOST_REQUIRE(message.has_value());
        BOOST_TEST(*message == i);
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(messages_arrive_in_order_without_waiting_for_a_timeout)
{
    const auto heard = std::make_shared<task::channel<int>>();
    echo_task echo{heard, 1000};
    BOOST_REQUIRE(echo.start().ok());
    constexpr int count = 200;
    for (int i = 0; i < count; ++i) {
        BOOST_REQUIRE(echo.inbox()->post(i).ok());
    }
    check_in_order(*heard, count);
    echo.stop();
    BOOST_TEST((core::kind_of(echo.inbox()->post(1)) == core::error_kind::unavailable));
}

BOOST_AUTO_TEST_CASE(a_full_mailbox_is_an_error_at_the_sender)
{
    echo_task echo{std::make_shared<task::channel<int>>(), 2};
    BOOST_TEST(echo.inbox()->post(1).ok());
    BOOST_TEST(echo.inbox()->post(2).ok());
    BOOST_TEST((core::kind_of(echo.inbox()->post(3)) == core::error_kind::overloaded));
}

BOOST_AUTO_TEST_CASE(an_ordered_sender_keeps_what_does_not_fit)
{
    const auto heard = std::make_shared<task::channel<int>>();
    echo_task echo{std::make_shared<full_outbox>(heard), 1000};
    BOOST_REQUIRE(echo.start().ok());
    constexpr int count = 20;
    for (int i = 0; i < count; ++i) {
        BOOST_REQUIRE(echo.inbox()->post(i).ok());
    }
    check_in_order(*heard, count);
    echo.stop();
}

BOOST_AUTO_TEST_CASE(a_failed_start_is_returned_and_the_thread_ends)
{
    failing_task failing;
    BOOST_TEST(!failing.start().ok());
    failing.stop();
}

namespace {

/// Hears numbers over its mailbox and a timer that is due by the time that the number arrives.
class stalling_task final : public task::basic_task<int> {
  public:
    stalling_task(task::task_host& host, std::shared_ptr<task::channel<int>> heard)
        : basic_task{"stalling", &host}, heard_{std::move(heard)}
    {
    }

  private:
    std::shared_ptr<task::channel<int>> heard_;

    absl::Status on_start() override
    {
        // The stall: the message and the timer are both there when the loop goes on.
        loop().run_after(std::chrono::milliseconds{20}, [this] { std::ignore = heard_->post(2); });
        loop().run_after(std::chrono::milliseconds{5}, [this] {
            std::ignore = inbox()->post(1);
            const core::instant end = now() + std::chrono::milliseconds{40};
            while (now() < end) {
            }
        });
        return absl::OkStatus();
    }
    void on_message(const int& message) override { std::ignore = heard_->post(message); }
};

} // namespace

BOOST_AUTO_TEST_CASE(after_a_stall_messages_come_before_timers)
{
    const auto heard = std::make_shared<task::channel<int>>();
    task::task_host host;
    stalling_task stalling{host, heard};
    host.add(stalling);
    BOOST_REQUIRE(host.start().ok());
    BOOST_TEST(heard->take(longest_wait).value_or(0) == 1);
    BOOST_TEST(heard->take(longest_wait).value_or(0) == 2);
    host.stop();
}
