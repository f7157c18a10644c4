#include "http/server.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <string_view>
#include <thread>

#include "support/ports.hpp"

using namespace cyclamen;

namespace {

class counting_handler final : public http::server_handler {
  public:
    void on_request(http::exchange_id exchange, const http::request& /*received*/) override
    {
        ++requests;
        last = exchange;
    }
    void on_disconnect(http::exchange_id /*exchange*/) override {}

    int requests = 0;
    http::exchange_id last;
};

int connect_to(const core::socket_address& address)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(address.port);
    ::inet_pton(AF_INET, address.ip.c_str(), &to.sin_addr);
    BOOST_REQUIRE(::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0);
    return fd;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_request_received_while_the_server_closes_is_not_handled)
{
    constexpr std::string_view request = "GET / HTTP/1.1\r\nhost: x\r\n\r\n";
    task::event_loop loop;
    loop.open();
    counting_handler handler;
    const core::socket_address address = test::free_address();
    auto listening = http::server::listen(loop, address, http::server_settings{}, handler);
    BOOST_REQUIRE(listening.ok());
    const int fd = connect_to(address);
    for (int round = 0; round < 5; ++round) {
        loop.run_once(std::chrono::milliseconds{10});
    }
    BOOST_REQUIRE(::write(fd, request.data(), request.size()) ==
                  static_cast<ssize_t>(request.size()));
    listening->reset();
    BOOST_TEST(handler.requests == 0);
    ::close(fd);
    loop.close();
}

BOOST_AUTO_TEST_CASE(connections_closed_right_after_a_response_do_not_corrupt_the_loop)
{
    constexpr std::string_view request = "GET / HTTP/1.1\r\nhost: x\r\n\r\n";
    task::event_loop loop;
    loop.open();
    counting_handler handler;
    for (int round = 0; round < 50; ++round) {
        const core::socket_address address = test::free_address();
        auto listening = http::server::listen(loop, address, http::server_settings{}, handler);
        BOOST_REQUIRE(listening.ok());
        const int fd = connect_to(address);
        const int other = connect_to(address);
        BOOST_REQUIRE(::write(fd, request.data(), request.size()) ==
                      static_cast<ssize_t>(request.size()));
        handler.requests = 0;
        while (handler.requests == 0) {
            loop.run_once(std::chrono::milliseconds{10});
        }
        // The response is written at once; h2o reports that in the next iteration of the loop.
        (*listening)->respond(handler.last, http::response_head{200, {}}, "whole");
        listening->reset();
        for (int i = 0; i < 3; ++i) {
            loop.run_once(std::chrono::milliseconds{1});
        }
        std::string received(4096, ' ');
        const ssize_t size = ::recv(fd, received.data(), received.size(), 0);
        BOOST_TEST(received.substr(0, static_cast<std::size_t>(std::max<ssize_t>(size, 0)))
                       .ends_with("whole"));
        ::close(fd);
        ::close(other);
    }
    loop.close();
}

namespace {

constexpr std::string_view get_request = "GET / HTTP/1.1\r\nhost: x\r\n\r\n";

/// Answers every request at once.
class answering_handler final : public http::server_handler {
  public:
    void on_request(http::exchange_id exchange, const http::request& /*received*/) override
    {
        ++requests;
        server->respond(exchange, http::response_head{200, {}}, "whole");
    }
    void on_disconnect(http::exchange_id /*exchange*/) override {}

    http::server* server = nullptr;
    int requests = 0;
};

void send_request(int fd)
{
    BOOST_REQUIRE(::write(fd, get_request.data(), get_request.size()) ==
                  static_cast<ssize_t>(get_request.size()));
}

std::string receive(int fd)
{
    std::string received(4096, ' ');
    const ssize_t size = ::recv(fd, received.data(), received.size(), MSG_DONTWAIT);
    received.resize(static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
    return received;
}

void run(task::event_loop& loop, int rounds)
{
    for (int i = 0; i < rounds; ++i) {
        loop.run_once(std::chrono::milliseconds{5});
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(requests_on_their_way_are_answered_when_the_server_stops_accepting)
{
    task::event_loop loop;
    loop.open();
    answering_handler handler;
    const core::socket_address address = test::free_address();
    auto listening = http::server::listen(loop, address, http::server_settings{}, handler);
    BOOST_REQUIRE(listening.ok());
    handler.server = listening->get();
    const int kept = connect_to(address);
    const int unused = connect_to(address);
    send_request(kept);
    run(loop, 5);
    BOOST_TEST(receive(kept).ends_with("whole"));
    // One request arrives on a kept connection, one on a connection that waits to be accepted, and
    // one a little later on a connection that was accepted before.
    const int waiting = connect_to(address);
    send_request(kept);
    send_request(waiting);
    (*listening)->stop_accepting();
    BOOST_TEST((*listening)->busy_connections() > 0U);
    run(loop, 5);
    send_request(unused);
    run(loop, 5);
    for (const int fd : {kept, waiting, unused}) {
        const std::string answer = receive(fd);
        BOOST_TEST(answer.ends_with("whole"));
        BOOST_TEST(answer.find("connection: close") != std::string::npos);
        ::close(fd);
    }
    BOOST_TEST(handler.requests == 4);
    BOOST_TEST((*listening)->busy_connections() == 0U);
    listening->reset();
    loop.close();
}

BOOST_AUTO_TEST_CASE(a_server_that_stops_accepting_is_busy_until_answers_are_sent)
{
    task::event_loop loop;
    loop.open();
    counting_handler handler;
    const core::socket_address address = test::free_address();
    auto listening = http::server::listen(loop, address, http::server_settings{}, handler);
    BOOST_REQUIRE(listening.ok());
    const int fd = connect_to(address);
    send_request(fd);
    run(loop, 5);
    (*listening)->stop_accepting();
    BOOST_TEST((*listening)->busy_connections() == 1U);
    // More than the socket buffers hold; the caller reads late.
    const std::string body(16 * 1024 * 1024, 'x');
    (*listening)->respond(handler.last, http::response_head{200, {}}, body);
    run(loop, 5);
    BOOST_TEST((*listening)->busy_connections() == 1U);
    std::size_t received = 0;
    for (int i = 0; i < 5000 && received <= body.size(); ++i) {
        loop.run_once(std::chrono::milliseconds{1});
        std::string part(1024 * 1024, ' ');
        const ssize_t size = ::recv(fd, part.data(), part.size(), MSG_DONTWAIT);
        received += static_cast<std::size_t>(std::max<ssize_t>(size, 0));
    }
    run(loop, 5);
    BOOST_TEST(received > body.size());
    BOOST_TEST((*listening)->busy_connections() == 0U);
    ::close(fd);
    listening->reset();
    loop.close();
}

BOOST_AUTO_TEST_CASE(a_late_second_response_reaches_no_other_request_of_its_connection)
{
    task::event_loop loop;
    loop.open();
    counting_handler handler;
    const core::socket_address address = test::free_address();
    auto listening = http::server::listen(loop, address, http::server_settings{}, handler);
    BOOST_REQUIRE(listening.ok());
    const int fd = connect_to(address);
    send_request(fd);
    run(loop, 5);
    const http::exchange_id first = handler.last;
    // The second request arrives before the first one is answered.
    send_request(fd);
    run(loop, 5);
    BOOST_TEST(handler.requests == 1);
    const auto respond = [&](http::exchange_id exchange, std::string_view body) {
        (*listening)->respond(exchange, http::response_head{200, {}}, body);
        (*listening)->send_head(exchange, http::response_head{200, {}});
        (*listening)->send(exchange, "late", true);
        run(loop, 5);
    };
    respond(first, "one");
    BOOST_TEST(handler.requests == 2);
    respond(first, "one again");
    respond(handler.last, "two");
    respond(first, "one again");
    respond(handler.last, "two again");
    const std::string received = receive(fd);
    BOOST_TEST(received.find("one") < received.find("two"));
    BOOST_TEST(received.find("again") == std::string::npos);
    BOOST_TEST(received.find("late") == std::string::npos);
    BOOST_TEST(received.rfind("HTTP/1.1") == received.find("HTTP/1.1", 1));
    ::close(fd);
    listening->reset();
    loop.close();
}

namespace {

/// Longer than the interval in which the server checks its time limits.
constexpr core::duration check_time = std::chrono::milliseconds{1050};

/// Runs the loop for a while.
void run_for(task::event_loop& loop, core::duration time)
{
    const core::instant end = loop.now() + time;
    while (loop.now() < end) {
        loop.run_once(std::chrono::milliseconds{5});
    }
}

/// A server with one connection on which a request was answered.
struct kept_connection {
    task::event_loop loop;
    answering_handler handler;
    std::unique_ptr<http::server> server;
    int fd = -1;

    explicit kept_connection(const http::server_settings& settings)
    {
        loop.open();
        const core::socket_address address = test::free_address();
        auto listening = http::server::listen(loop, address, settings, handler);
        BOOST_REQUIRE(listening.ok());
        server = *std::move(listening);
        handler.server = server.get();
        fd = connect_to(address);
        send_request(fd);
        run(loop, 5);
        BOOST_REQUIRE(receive(fd).ends_with("whole"));
    }
    ~kept_connection()
    {
        ::close(fd);
        server.reset();
        loop.close();
    }
    kept_connection(const kept_connection&) = delete;
    kept_connection& operator=(const kept_connection&) = delete;
};

} // namespace

BOOST_AUTO_TEST_CASE(a_connection_that_gives_way_to_a_new_one_is_counted)
{
    task::event_loop loop;
    loop.open();
    counting_handler handler;
    const core::socket_address address = test::free_address();
    auto listening =
        http::server::listen(loop, address, http::server_settings{.max_connections = 2}, handler);
    BOOST_REQUIRE(listening.ok());
    std::vector<int> callers;
    const auto connect = [&] {
        callers.push_back(connect_to(address));
        run(loop, 5);
    };
    connect();
    connect();
    connect();
    BOOST_TEST(((*listening)->ended_by_limits() == limits::connection_ends{.displaced = 1}));
    // The two that are left have requests in progress.
    send_request(callers[1]);
    send_request(callers[2]);
    run(loop, 5);
    BOOST_REQUIRE(handler.requests == 2);
    connect();
    BOOST_TEST(
        ((*listening)->ended_by_limits() == limits::connection_ends{.displaced = 1, .refused = 1}));
    for (const int fd : callers) {
        ::close(fd);
    }
    listening->reset();
    loop.close();
}

// Guards against callers that send ahead: what they sent stays with the operating system.
BOOST_AUTO_TEST_CASE(requests_sent_ahead_are_read_in_parts)
{
    task::event_loop loop;
    loop.open();
    counting_handler handler;
    const core::socket_address address = test::free_address();
    const auto ledger = std::make_shared<limits::memory_ledger>(limits::memory_limits{});
    auto listening = http::server::listen(loop, address, http::server_settings{}, handler, ledger);
    BOOST_REQUIRE(listening.ok());
    const int fd = connect_to(address);
    constexpr std::size_t sent_ahead = 1000;
    for (std::size_t i = 0; i < sent_ahead; ++i) {
        constexpr std::string_view request =
            "GET / HTTP/1.1\r\nhost: x\r\nx-filling: 0123456789012345678901234567\r\n\r\n";
        (void)::send(fd, request.data(), request.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    }
    run(loop, 20);
    BOOST_TEST(handler.requests == 1);
    // The bytes that may wait, and those of one more read, as the request is answered.
    constexpr std::size_t max_input_bytes = 33 * 1024;
    BOOST_TEST(ledger->input_bytes() <= max_input_bytes);
    BOOST_TEST(ledger->input_bytes() > 0U);
    ::close(fd);
    listening->reset();
    BOOST_TEST(ledger->input_bytes() == 0U);
    loop.close();
}

// Guards against callers that send ahead: what a connection costs must not grow with the requests
// on it.
BOOST_AUTO_TEST_CASE(requests_sent_ahead_do_not_add_up)
{
    kept_connection kept{{}};
    constexpr int sent_ahead = 200;
    std::string requests;
    for (int i = 0; i < sent_ahead; ++i) {
        requests += "GET / HTTP/1.1\r\nhost: x\r\n\r\n";
    }
    BOOST_REQUIRE(::write(kept.fd, requests.data(), requests.size()) ==
                  static_cast<ssize_t>(requests.size()));
    // One when bytes arrive, and one by the timer.
    constexpr int max_requests_per_round = 2;
    int most = 0;
    for (int round = 0; round < sent_ahead + 10; ++round) {
        const int before = kept.handler.requests;
        kept.loop.run_once(std::chrono::milliseconds{1});
        most = std::max(most, kept.handler.requests - before);
    }
    BOOST_TEST(most <= max_requests_per_round);
    BOOST_TEST(kept.handler.requests == sent_ahead + 1);
}

BOOST_AUTO_TEST_CASE(a_request_that_has_arrived_is_answered_though_the_idle_limit_is_over)
{
    kept_connection kept{{.idle_timeout = std::chrono::milliseconds{100}}};
    std::this_thread::sleep_for(check_time);
    kept.loop.wait(core::duration::zero());
    // The request arrives after the sockets were read and before the limits are checked.
    send_request(kept.fd);
    kept.loop.run_timers();
    run(kept.loop, 5);
    BOOST_TEST(receive(kept.fd).ends_with("whole"));
    BOOST_TEST(kept.handler.requests == 2);
}

BOOST_AUTO_TEST_CASE(a_connection_that_waits_keeps_its_idle_limit_when_a_shorter_one_is_set)
{
    kept_connection kept{{.idle_timeout = std::chrono::milliseconds{2500}}};
    const http::server_settings shorter{.idle_timeout = std::chrono::milliseconds{100}};
    kept.server->set_settings(shorter);
    run_for(kept.loop, check_time);
    // The caller could not know of the new limit when it sent this.
    send_request(kept.fd);
    run(kept.loop, 5);
    BOOST_TEST(receive(kept.fd).ends_with("whole"));
    // The shorter limit applies from then on.
    run_for(kept.loop, check_time + check_time);
    char byte = 0;
    BOOST_TEST(::recv(kept.fd, &byte, 1, MSG_DONTWAIT) == 0);
}

// Guards against callers that don't read, whose unread answers add up in memory.
BOOST_AUTO_TEST_CASE(unread_answers_share_a_bounded_memory)
{
    task::event_loop loop;
    loop.open();
    counting_handler handler;
    const core::socket_address address = test::free_address();
    constexpr std::size_t limit = 32 * 1024 * 1024;
    auto listening = http::server::listen(
        loop, address, http::server_settings{.max_total_unsent_bytes = limit}, handler);
    BOOST_REQUIRE(listening.ok());
    std::vector<int> callers;
    for (int i = 0; i < 6; ++i) {
        callers.push_back(connect_to(address));
        send_request(callers.back());
        run(loop, 5);
        // The first caller's answer is the largest.
        const std::string body((i == 0 ? 24 : 16) * 1024 * 1024, 'x');
        (*listening)->respond(handler.last, http::response_head{200, {}}, body);
        run(loop, 5);
    }
    const auto is_closed = [](int fd) {
        std::string part(1024 * 1024, ' ');
        for (int i = 0; i < 100; ++i) {
            const ssize_t size = ::recv(fd, part.data(), part.size(), MSG_DONTWAIT);
            if (size == 0 || (size < 0 && errno != EAGAIN)) {
                return true;
            }
        }
        return false;
    };
    BOOST_TEST(is_closed(callers.front()));
    const auto closed = std::count_if(callers.begin(), callers.end(), is_closed);
    BOOST_TEST(closed >= 3);
    BOOST_TEST(!is_closed(callers.back()));
    for (const int fd : callers) {
        ::close(fd);
    }
    listening->reset();
    loop.close();
}

BOOST_AUTO_TEST_CASE(an_answer_that_is_being_sent_is_not_cut_by_the_idle_limit)
{
    task::event_loop loop;
    loop.open();
    counting_handler handler;
    const core::socket_address address = test::free_address();
    auto listening = http::server::listen(
        loop, address, http::server_settings{.idle_timeout = std::chrono::milliseconds{100}},
        handler);
    BOOST_REQUIRE(listening.ok());
    const int fd = connect_to(address);
    send_request(fd);
    run(loop, 5);
    // More than the socket buffers hold; the caller reads late.
    const std::string body(16 * 1024 * 1024, 'x');
    (*listening)->respond(handler.last, http::response_head{200, {}}, body);
    run_for(loop, check_time);
    std::size_t received = 0;
    std::string part(1024 * 1024, ' ');
    for (int i = 0; i < 2000 && received <= body.size(); ++i) {
        loop.run_once(std::chrono::milliseconds{1});
        const ssize_t size = ::recv(fd, part.data(), part.size(), MSG_DONTWAIT);
        received += static_cast<std::size_t>(std::max<ssize_t>(size, 0));
    }
    BOOST_TEST(received > body.size());
    ::close(fd);
    listening->reset();
    loop.close();
}
