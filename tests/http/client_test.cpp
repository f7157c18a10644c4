#include <algorithm>
#include <string>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "http/buffered_client.hpp"
#include "support/raw_server.hpp"

using namespace cyclamen;
using namespace std::chrono_literals;

namespace {

/// A client with its event loop.
class blocking_client {
  public:
    blocking_client()
    {
        loop_.open();
        client_ = std::make_unique<http::buffered_client>(loop_, http::client_settings{});
    }
    ~blocking_client()
    {
        client_.reset();
        loop_.close();
    }
    blocking_client(const blocking_client&) = delete;
    blocking_client& operator=(const blocking_client&) = delete;

    /// Sends a request and waits for its result.
    absl::StatusOr<http::buffered_response> fetch(const core::socket_address& address)
    {
        std::optional<absl::StatusOr<http::buffered_response>> result;
        client_->send(address, http::request{"GET", "/", {}, ""}, 10s,
                      [&](const absl::StatusOr<http::buffered_response>& response) {
                          result.emplace(response);
                      });
        while (!result.has_value()) {
            loop_.run_once(100ms);
        }
        return *result;
    }

  private:
    task::event_loop loop_;
    std::unique_ptr<http::buffered_client> client_;
};

/// Reads a response slowly and notes the largest part of its body.
class slow_listener final : public http::client_listener {
  public:
    std::size_t largest = 0;
    std::size_t received = 0;

  private:
    void on_head(http::exchange_id /*exchange*/, const http::response_head& /*head*/) override {}
    void on_body(http::exchange_id /*exchange*/, std::string_view bytes) override
    {
        largest = std::max(largest, bytes.size());
        received += bytes.size();
        std::this_thread::sleep_for(20ms);
    }
    void on_end(http::exchange_id /*exchange*/, bool /*sent*/,
                const absl::Status& /*status*/) override
    {
    }
};

} // namespace

// Guards against a limit on responses that holds only for the bytes that were read.
BOOST_AUTO_TEST_CASE(a_server_that_sends_faster_than_it_is_read_fills_a_bounded_buffer)
{
    constexpr std::size_t megabyte = 1024 * 1024;
    test::raw_server server{"HTTP/1.1 200 OK\r\n\r\n", std::string(megabyte, 'x')};
    task::event_loop loop;
    loop.open();
    slow_listener listener;
    http::client client{loop, listener};
    client.start(http::exchange_id{1}, server.address, http::request{"GET", "/", {}, ""});
    while (listener.received < 64 * megabyte) {
        loop.run_once(100ms);
    }
    client.cancel(http::exchange_id{1});
    BOOST_TEST(listener.largest <= 2 * megabyte);
    loop.close();
}

BOOST_AUTO_TEST_CASE(a_response_without_end_fails_before_its_time_is_up)
{
    const std::string noise(64 * 1024, 'x');
    for (const auto& [begin, repeated] : std::vector<std::pair<std::string, std::string>>{
             {"HTTP/1.1 200 OK\r\n\r\n", noise},
             {"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3;", noise},
             {"", noise},
             {"", "HTTP/1.1 100 Continue\r\n\r\n"}}) {
        test::raw_server server{begin, repeated};
        blocking_client client;
        const auto result = client.fetch(server.address);
        BOOST_TEST(!result.ok());
        BOOST_TEST(!absl::IsDeadlineExceeded(result.status()));
    }
}

BOOST_AUTO_TEST_CASE(a_refusal_that_is_written_twice_is_no_answer_to_a_later_request)
{
    const std::string refusal = "HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n";
    test::raw_server server{refusal + refusal, ""};
    blocking_client client;
    for (int i = 1; i <= 3; ++i) {
        BOOST_TEST(client.fetch(server.address).ok());
        // Each request has a connection of its own, so bytes that follow an answer reach no other.
        BOOST_TEST(server.connections == i);
    }
}

BOOST_AUTO_TEST_CASE(a_response_cut_in_its_head_fails_whether_the_connection_is_closed_or_reset)
{
    const std::string head = "HTTP/1.1 100 Continue\r\n\r\n"
                             "HTTP/1.1 200 OK\r\ncontent-length: 0\r\nseal: 3e1b\r\n\r\n";
    for (const bool resets : {false, true}) {
        for (std::size_t length = 0; length < head.size(); ++length) {
            test::raw_server server{head.substr(0, length), "", resets};
            blocking_client client;
            BOOST_TEST(!client.fetch(server.address).ok(),
                       "cut after " << length << (resets ? ", reset" : ", closed"));
        }
    }
}

BOOST_AUTO_TEST_CASE(a_response_without_a_length_is_whole_if_closed_after_its_head_and_not_if_reset)
{
    for (const std::string body : {"", "part"}) {
        const std::string sent = "HTTP/1.1 200 OK\r\nseal: 3e1b\r\n\r\n" + body;
        test::raw_server closing{sent, ""};
        blocking_client client;
        const auto whole = client.fetch(closing.address);
        BOOST_REQUIRE(whole.ok());
        BOOST_TEST(whole->body == body);
        test::raw_server resetting{sent, "", true};
        BOOST_TEST(!client.fetch(resetting.address).ok());
    }
}
