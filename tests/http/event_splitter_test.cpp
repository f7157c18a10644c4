#include "http/event_splitter.hpp"

#include <boost/test/unit_test.hpp>

#include <rapidcheck/boost_test.h>

using namespace cyclamen;

BOOST_AUTO_TEST_CASE(a_partial_event_is_buffered_until_complete)
{
    http::event_splitter splitter;
    BOOST_TEST(splitter.feed("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    BOOST_TEST(splitter.has_partial());
    BOOST_TEST(splitter.feed("ta: b\n\n") == "id: 2\ndata: b\n\n");
    BOOST_TEST(!splitter.has_partial());
}

BOOST_AUTO_TEST_CASE(last_event_id_is_the_id_of_the_last_event_that_has_one)
{
    BOOST_TEST(http::last_event_id("id: 7\ndata: id:9\n\n") == "7");
    BOOST_TEST(http::last_event_id("id: 7\ndata: a\n\nid:8\r\ndata: b\r\n\r\n") == "8");
    BOOST_TEST(http::last_event_id("data: a\n\n") == "");
}

RC_BOOST_PROP(output_equals_input_for_any_split_of_the_stream,
              (const std::vector<std::uint8_t>& cuts))
{
    std::string stream;
    for (int i = 1; i < 20; ++i) {
        stream += "id: " + std::to_string(i) + "\ndata: token\n\n";
    }
    http::event_splitter splitter;
    std::string received;
    std::size_t at = 0;
    for (std::size_t i = 0; at < stream.size(); ++i) {
        const std::size_t step = i < cuts.size() ? cuts[i] : stream.size();
        received += splitter.feed(std::string_view{stream}.substr(at, step));
        at = std::min(stream.size(), at + step);
        RC_ASSERT(received.empty() || received.ends_with("\n\n"));
    }
    RC_ASSERT(received == stream);
}

BOOST_AUTO_TEST_CASE(an_event_without_end_is_an_error)
{
    http::event_splitter splitter;
    const std::string noise(64 * 1024, 'x');
    for (int i = 0; i < 15; ++i) {
        (void)splitter.feed(noise);
    }
    BOOST_TEST(!splitter.is_too_long());
    for (int i = 0; i < 100; ++i) {
        (void)splitter.feed(noise);
    }
    BOOST_TEST(splitter.is_too_long());
}

BOOST_AUTO_TEST_CASE(ids_of_the_first_and_the_last_event_are_found_at_line_starts_only)
{
    constexpr std::string_view events = "data: id: 9\nid: 4\n\ndata: x\n\nid:5\ndata: id: 7\n\n";
    BOOST_TEST(http::first_event_id(events) == "4");
    BOOST_TEST(http::last_event_id(events) == "5");
    BOOST_TEST(http::first_event_id("data: id: 9\n\n").empty());
}
