#include "replica/copy_freshness.hpp"

#include <boost/test/unit_test.hpp>

#include "chart/library.hpp"

using namespace cyclamen;
using namespace std::chrono_literals;

namespace {

/// The freshness of a copy whose maximum age is 1400 ms, in virtual time.
class freshness_fixture final : private replica::freshness_host {
  public:
    freshness_fixture()
        : freshness_{
              1400ms,
              *chart::library::embedded().load("copy_freshness", replica::freshness_vocabulary()),
              static_cast<replica::freshness_host&>(*this)}
    {
        freshness_.start();
    }

    /// Confirms the copy by an answer that the store gave some time ago.
    bool confirm(core::duration age) { return freshness_.confirm(now_ - age, now_); }

    void advance(core::duration time)
    {
        now_ += time;
        freshness_.on_timer(now_);
    }

    bool probing = false;

  private:
    core::instant now_{std::chrono::hours{1}};
    replica::copy_freshness freshness_;

    void probe_store(bool on) override { probing = on; }
};

} // namespace

BOOST_AUTO_TEST_CASE(a_copy_that_is_confirmed_in_time_needs_no_probe)
{
    freshness_fixture fixture;
    fixture.advance(10s);
    BOOST_TEST(!fixture.probing);
    for (int i = 0; i < 20; ++i) {
        BOOST_TEST(fixture.confirm(600ms));
        fixture.advance(500ms);
        BOOST_TEST(!fixture.probing);
    }
}

BOOST_AUTO_TEST_CASE(the_store_is_probed_until_the_copy_is_confirmed_again)
{
    freshness_fixture fixture;
    fixture.confirm(0ms);
    fixture.advance(1399ms);
    BOOST_TEST(!fixture.probing);
    fixture.advance(1ms);
    BOOST_TEST(fixture.probing);
    fixture.confirm(0ms);
    BOOST_TEST(!fixture.probing);
}

BOOST_AUTO_TEST_CASE(answers_of_a_source_that_is_itself_outdated_do_not_end_the_probe)
{
    freshness_fixture fixture;
    fixture.confirm(0ms);
    fixture.advance(500ms);
    // The source answers, but the store last answered it 900 ms ago.
    BOOST_TEST(!fixture.confirm(900ms));
    fixture.advance(900ms);
    BOOST_TEST(fixture.probing);
    fixture.advance(600ms);
    BOOST_TEST(fixture.confirm(1900ms));
    BOOST_TEST(fixture.probing);
    BOOST_TEST(fixture.confirm(100ms));
    BOOST_TEST(!fixture.probing);
}
