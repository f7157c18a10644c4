#include <algorithm>
#include <string>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "http/buffered_client.hpp"
#include "support/early_server.hpp"
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
    absl::StatusOr<http::buffered_response> fetch(const core::socket_address& address,
                                                  const http::request& sent = http::request{
                                                      "GET", "/", {}, ""})
    {
        std::optional<absl::StatusOr<http::buffered_response>> result;
        client_->send(address, sent, 10s,
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

constexpr std::size_t mebibyte = 1024 * 1024;

/// @return a request whose body has the size
http::request upload(std::size_t size)
{
    return http::request{"POST", "/", {}, std::string(size, 'u')};
}

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

BOOST_AUTO_TEST_CASE(an_early_response_without_a_length_is_not_whole_if_reset)
{
    using test::connection_end;
    const std::string events = "id: 1\ndata: a\n\n";
    for (const std::string head :
         {"HTTP/1.1 200 OK\r\nseal: 3e1b\r\n\r\n",
          "HTTP/1.1 200 OK\r\nseal: 3e1b\r\ncontent-type: text/event-stream\r\n\r\n"}) {
        for (const connection_end end :
             {connection_end::reset, connection_end::half_close_and_reset,
              connection_end::read_and_reset}) {
            for (const auto pause : {0ms, 1ms, 20ms}) {
                for (const std::size_t size : {mebibyte, 4 * mebibyte}) {
                    test::early_server server{head + events, end, pause};
                    blocking_client client;
                    BOOST_TEST(!client.fetch(server.address, upload(size)).ok(),
                               end << " after " << pause.count() << " ms, " << size << " bytes");
                }
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(an_early_response_without_a_length_is_whole_if_closed_after_the_request)
{
    test::early_server server{"HTTP/1.1 200 OK\r\n\r\nwhole", test::connection_end::read_and_close,
                              0ms};
    blocking_client client;
    const auto received = client.fetch(server.address, upload(4 * mebibyte));
    BOOST_REQUIRE(received.ok());
    BOOST_TEST(received->body == "whole");
}

BOOST_AUTO_TEST_CASE(an_early_response_with_a_length_is_whole_however_its_connection_ends)
{
    using test::connection_end;
    for (const std::string rest : {"content-length: 5\r\n\r\nwhole",
                                   "transfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"}) {
        for (const connection_end end :
             {connection_end::reset, connection_end::half_close_and_reset,
              connection_end::half_close_and_read, connection_end::read_and_reset,
              connection_end::read_and_close}) {
            for (const auto pause : {0ms, 1ms, 20ms}) {
                test::early_server server{"HTTP/1.1 200 OK\r\n" + rest, end, pause};
                blocking_client client;
                const auto received = client.fetch(server.address, upload(4 * mebibyte));
                BOOST_TEST(received.ok(), end << " after " << pause.count() << " ms");
                BOOST_TEST((!received.ok() || received->body == "whole"));
            }
        }
    }
}
