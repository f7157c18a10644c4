#include "platform_fixture.hpp"

#include "support/early_server.hpp"
#include "support/raw_server.hpp"

using namespace cyclamen;
using namespace std::chrono_literals;
using test::platform_fixture;

namespace {

/// A target whose answers the fixture's raw routes get while it exists.
template <typename Server>
class listed_target {
  public:
    template <typename... Arguments>
    listed_target(platform_fixture& fixture, const Arguments&... arguments)
        : fixture_{fixture}, server_{arguments...}
    {
        static int number = 0;
        name_ = "raw-" + std::to_string(++number);
        fixture_.list_target(name_, "raw", server_.address);
    }
    ~listed_target() { fixture_.remove_target(name_); }
    listed_target(const listed_target&) = delete;
    listed_target& operator=(const listed_target&) = delete;

    /// Sends a request until the target was connected to: a refusal says that it was not listed
    /// yet or is held back.
    /// @return all bytes of the answer
    std::string ask(const std::string& request)
    {
        std::string received = fixture_.send_raw(request);
        for (int i = 0; i < 40 && server_.connections == 0; ++i) {
            std::this_thread::sleep_for(50ms);
            received = fixture_.send_raw(request);
        }
        BOOST_TEST(server_.connections >= 1);
        return received;
    }

  private:
    platform_fixture& fixture_;
    Server server_;
    std::string name_;
};

const std::vector<std::string> raw_paths{"/raw/x", "/raw-safe/x", "/raw-stream/x"};

/// @return a request that ends its connection
std::string request_with_body(const std::string& path, std::size_t size)
{
    return "POST " + path +
           " HTTP/1.1\r\nHost: test.example\r\nConnection: close\r\n"
           "X-Cyclamencourse-Request-Id: cut\r\nX-Cyclamencourse-Deadline-Ms: 1500\r\n"
           "Content-Length: " +
           std::to_string(size) + "\r\n\r\n" + std::string(size, 'u');
}

const std::string signed_fields = "X-Cyclamencourse-Request-Id: cut\r\n"
                                  "X-Cyclamencourse-Response-Seal: seal\r\n";

} // namespace

BOOST_AUTO_TEST_SUITE(broken_answers, *boost::unit_test::label("broken_answers"))

BOOST_AUTO_TEST_CASE(an_answer_whose_head_is_cut_never_reaches_the_caller_as_a_success)
{
    platform_fixture fixture;
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    const std::string head = "HTTP/1.1 200 OK\r\n" + signed_fields + "Content-Length: 0\r\n";
    for (const std::string& sent : {std::string{"HTTP/1.1 200 O"}, head.substr(0, 17),
                                    head.substr(0, 30), head.substr(0, head.size() - 2), head,
                                    head + "\r", interim + head, interim.substr(0, 23)}) {
        for (const bool resets : {false, true}) {
            for (const std::string path : {"/raw/x", "/raw-stream/x"}) {
                listed_target<test::raw_server> target{fixture, sent, "", resets};
                const std::string received = target.ask(request_with_body(path, 4));
                const std::string what = path + " after '" + sent + "'" + (resets ? ", reset" : "");
                BOOST_TEST(received.starts_with("HTTP/1.1 502"), what + ": " + received);
                BOOST_TEST(received.find("HTTP/1.1 2") == std::string::npos, what);
            }
        }
    }
    // The same head is a success once it is whole.
    listed_target<test::raw_server> target{fixture, head + "\r\n", ""};
    BOOST_TEST(target.ask(request_with_body("/raw/x", 4)).starts_with("HTTP/1.1 200"));
}

BOOST_AUTO_TEST_CASE(an_early_answer_that_is_cut_never_reaches_the_caller_as_whole)
{
    using test::connection_end;
    platform_fixture fixture;
    constexpr std::size_t size = 4 * 1024 * 1024;
    const std::string head = "HTTP/1.1 200 OK\r\n" + signed_fields;
    for (const std::string& path : raw_paths) {
        const bool streams = path.starts_with("/raw-stream/");
        const std::string answer =
            head +
            (streams ? "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n" : "\r\npart");
        for (const connection_end end :
             {connection_end::reset, connection_end::half_close_and_reset,
              connection_end::read_and_reset}) {
            for (const auto pause : {0ms, 20ms}) {
                listed_target<test::early_server> target{fixture, answer, end, pause};
                const std::string received = target.ask(request_with_body(path, size));
                const bool whole = streams ? received.find("\r\n0\r\n\r\n") != std::string::npos
                                           : received.find("HTTP/1.1 2") != std::string::npos;
                BOOST_TEST(!whole, path << ", " << end << " after " << pause.count()
                                        << " ms: " << received);
            }
        }
        listed_target<test::early_server> sound{fixture, answer, connection_end::read_and_close,
                                                0ms};
        BOOST_TEST(sound.ask(request_with_body(path, size)).starts_with("HTTP/1.1 200"), path);
    }
}

BOOST_AUTO_TEST_CASE(a_kept_connection_goes_on_after_an_early_answer_that_was_cut)
{
    platform_fixture fixture;
    listed_target<test::early_server> target{fixture,
                                             "HTTP/1.1 200 OK\r\n" + signed_fields + "\r\npart",
                                             test::connection_end::reset, 20ms};
    std::string kept = request_with_body("/raw/x", 4 * 1024 * 1024);
    const std::string last_field = "Connection: close\r\n";
    kept.erase(kept.find(last_field), last_field.size());
    const std::string received = target.ask(kept + request_with_body("/u/x", 4));
    BOOST_TEST(received.starts_with("HTTP/1.1 502"), received);
    BOOST_TEST(received.find("part") == std::string::npos, received);
    BOOST_TEST(received.find("HTTP/1.1 200") != std::string::npos, received);
}

BOOST_AUTO_TEST_CASE(an_answer_whose_status_is_none_of_the_protocol_never_reaches_the_caller)
{
    platform_fixture fixture;
    const std::string rest = " Trouble\r\n" + signed_fields;
    // The second value says whether a success follows on the connection.
    for (const auto& [status, goes_on] :
         std::vector<std::pair<std::string, bool>>{{"000", false},
                                                   {"000", true},
                                                   {"099", true},
                                                   {"2OO", false},
                                                   {"", false},
                                                   {"101", true},
                                                   {"600", false}}) {
        for (const std::string& path : raw_paths) {
            const std::string fields =
                path.starts_with("/raw-stream/")
                    ? "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: trouble\n\n"
                    : "Content-Length: 7\r\n\r\ntrouble";
            const std::string sent =
                "HTTP/1.1 " + status + rest + fields +
                (goes_on ? "HTTP/1.1 200 OK\r\n" + signed_fields + fields : std::string{});
            listed_target<test::raw_server> target{fixture, sent, ""};
            const std::string received = target.ask(request_with_body(path, 4));
            const std::string what =
                path + ", status '" + status + "'" + (goes_on ? " and a success" : "");
            BOOST_TEST(received.starts_with("HTTP/1.1 502"), what + ": " + received);
            BOOST_TEST(received.find("trouble") == std::string::npos, what);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
