#include "standin/stream_store.hpp"

#include <boost/test/unit_test.hpp>

using namespace cyclamen;

namespace {

constexpr standin::stream_id stream{1};
constexpr http::exchange_id first_connection{10};
constexpr http::exchange_id second_connection{11};
constexpr core::duration retention = std::chrono::seconds{5};
using text_list = std::vector<std::string>;

struct fixture {
    standin::stream_store store{retention};
    core::instant now{};

    fixture()
    {
        store.open(stream, "s", first_connection);
        store.append({stream, " a", false}, now);
        store.append({stream, " b", false}, now);
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(stream_resumes_on_a_new_connection, fixture)
{
    store.detach_connections(now);
    BOOST_TEST(!store.append({stream, " c", false}, now).has_value());
    const auto rest = store.resume("s", 1, second_connection);
    BOOST_REQUIRE(rest.has_value());
    BOOST_TEST((rest->tokens == text_list{" b", " c"}));
    BOOST_TEST(!rest->ended);
    BOOST_TEST((store.append({stream, " d", true}, now) == second_connection));
    // Closing the old connection no longer ends the stream.
    BOOST_TEST(!store.close_connection(first_connection).has_value());
    const auto end = store.resume("s", 4, second_connection);
    BOOST_TEST((end.has_value() && end->tokens.empty() && end->ended));
}

BOOST_FIXTURE_TEST_CASE(resuming_an_unknown_stream_or_past_its_last_token_fails, fixture)
{
    BOOST_TEST(!store.resume("t", 0, second_connection).has_value());
    BOOST_TEST(!store.resume("s", 3, second_connection).has_value());
}

BOOST_FIXTURE_TEST_CASE(closing_the_connection_removes_the_stream, fixture)
{
    BOOST_TEST((store.close_connection(first_connection) == stream));
    BOOST_TEST(!store.cancel("s").has_value());
}

BOOST_FIXTURE_TEST_CASE(stream_without_a_connection_expires, fixture)
{
    store.detach_connections(now);
    BOOST_TEST(store.remove_expired(now + retention / 2).empty());
    BOOST_TEST((store.remove_expired(now + retention) == std::vector{stream}));
    BOOST_TEST(!store.next_expiry().has_value());
}
