#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <string>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "http/buffered_client.hpp"
#include "support/ports.hpp"

using namespace cyclamen;
using namespace std::chrono_literals;

namespace {

/// A server that writes bytes without regard to the requests that it receives.
class raw_server {
  public:
    /// @param begin written first on each connection
    /// @param repeated then written until the peer closes; empty to write nothing more
    raw_server(std::string begin, std::string repeated)
        : begin_{std::move(begin)}, repeated_{std::move(repeated)}
    {
        sockaddr_in bound{};
        bound.sin_family = AF_INET;
        bound.sin_port = htons(address.port);
        ::inet_pton(AF_INET, address.ip.c_str(), &bound.sin_addr);
        BOOST_REQUIRE(::bind(listener_, reinterpret_cast<const sockaddr*>(&bound), sizeof(bound)) ==
                      0);
        BOOST_REQUIRE(::listen(listener_, 8) == 0);
        thread_ = std::thread{[this] { run(); }};
    }
    ~raw_server()
    {
        ::shutdown(listener_, SHUT_RDWR);
        thread_.join();
        ::close(listener_);
    }
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;

    const core::socket_address address = test::free_address();
    std::atomic<int> connections = 0;

  private:
    const std::string begin_;
    const std::string repeated_;
    const int listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    std::thread thread_;

    void run()
    {
        for (int fd = ::accept(listener_, nullptr, nullptr); fd >= 0;
             fd = ::accept(listener_, nullptr, nullptr)) {
            ++connections;
            std::string request(4096, ' ');
            (void)::recv(fd, request.data(), request.size(), 0);
            bool open = ::send(fd, begin_.data(), begin_.size(), MSG_NOSIGNAL) >= 0;
            while (open && !repeated_.empty()) {
                open = ::send(fd, repeated_.data(), repeated_.size(), MSG_NOSIGNAL) > 0;
            }
            ::close(fd);
        }
    }
};

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

} // namespace

BOOST_AUTO_TEST_CASE(a_response_without_end_fails_before_its_time_is_up)
{
    const std::string noise(64 * 1024, 'x');
    for (const auto& [begin, repeated] : std::vector<std::pair<std::string, std::string>>{
             {"HTTP/1.1 200 OK\r\n\r\n", noise},
             {"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3;", noise},
             {"", noise},
             {"", "HTTP/1.1 100 Continue\r\n\r\n"}}) {
        raw_server server{begin, repeated};
        blocking_client client;
        const auto result = client.fetch(server.address);
        BOOST_TEST(!result.ok());
        BOOST_TEST(!absl::IsDeadlineExceeded(result.status()));
    }
}

BOOST_AUTO_TEST_CASE(a_refusal_that_is_written_twice_is_no_answer_to_a_later_request)
{
    const std::string refusal = "HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n";
    raw_server server{refusal + refusal, ""};
    blocking_client client;
    for (int i = 1; i <= 3; ++i) {
        BOOST_TEST(client.fetch(server.address).ok());
        // Each request has a connection of its own, so bytes that follow an answer reach no other.
        BOOST_TEST(server.connections == i);
    }
}
