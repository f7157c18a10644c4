#include "relay/crash_evidence.hpp"

#include <boost/test/unit_test.hpp>

using namespace cyclamen;
using namespace std::chrono_literals;
using relay::request_traits;

namespace {

/// Evidence of one service in virtual time.
class evidence_fixture {
  public:
    /// Adds a crash that this instance has seen.
    /// @return number of records that are to be reported
    std::size_t crash(const request_traits& traits)
    {
        evidence.add_own(record(traits), now);
        return evidence.take_reports().size();
    }

    /// Adds a crash of a target that another instance has reported.
    void learn_of(const std::string& incarnation, const request_traits& traits,
                  const request_traits& answered = {})
    {
        const relay::crash_record plain = record(traits);
        evidence.add(
            relay::crash_record{plain.name, plain.service, plain.traits, incarnation, answered},
            now);
    }

    /// Adds a crash that another instance has reported.
    void learn(const request_traits& traits) { evidence.add(record(traits), now); }

    void answer(const request_traits& traits, int times)
    {
        for (int i = 0; i < times; ++i) {
            evidence.add_answered(service, traits);
        }
    }

    [[nodiscard]] bool is_quarantined(const request_traits& traits)
    {
        return evidence.quarantine_of(service, traits, now).has_value();
    }

    const core::service_name service{"engines"};
    core::instant now{};
    relay::crash_evidence evidence;

  private:
    int last_ = 0;

    relay::crash_record record(const request_traits& traits)
    {
        return relay::crash_record{"r-" + std::to_string(++last_), service, traits};
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(one_request_that_crashes_three_targets_is_quarantined_alone)
{
    evidence_fixture fixture;
    for (int i = 0; i < 2; ++i) {
        fixture.crash({"shared", "deadly", "request:1"});
        BOOST_TEST(!fixture.is_quarantined({"shared", "deadly", "request:1"}));
    }
    fixture.crash({"shared", "deadly", "request:1"});
    BOOST_TEST(fixture.is_quarantined({"shared", "deadly", "request:1"}));
    // Which of its traits is the cause is not known yet.
    BOOST_TEST(!fixture.is_quarantined({"shared", "deadly", "request:2"}));
    BOOST_TEST(!fixture.is_quarantined({"shared", "request:3"}));
}

BOOST_AUTO_TEST_CASE(parts_that_crashed_requests_have_in_common_are_quarantined_together)
{
    evidence_fixture fixture;
    for (int i = 0; i < 3; ++i) {
        fixture.crash({"shared", "deadly", "request:1"});
    }
    fixture.learn({"shared", "deadly", "request:2"});
    BOOST_TEST(fixture.is_quarantined({"shared", "deadly", "request:3"}));
    BOOST_TEST(fixture.is_quarantined({"shared", "other", "deadly", "request:3"}));
    BOOST_TEST(!fixture.is_quarantined({"shared", "request:3"}));
    BOOST_TEST(!fixture.is_quarantined({"deadly", "request:3"}));
}

BOOST_AUTO_TEST_CASE(a_part_with_which_requests_are_answered_is_cleared)
{
    evidence_fixture fixture;
    for (int i = 0; i < 3; ++i) {
        fixture.crash({"shared", "deadly", "request:1"});
    }
    fixture.crash({"shared", "deadly", "request:2"});
    fixture.answer({"shared"}, 4);
    BOOST_TEST(fixture.is_quarantined({"deadly", "request:3"}));
    BOOST_TEST(!fixture.is_quarantined({"shared", "request:3"}));
}

BOOST_AUTO_TEST_CASE(two_deadly_parts_are_told_apart)
{
    evidence_fixture fixture;
    for (const char* deadly : {"deadly-1", "deadly-2"}) {
        for (int i = 0; i < 4; ++i) {
            fixture.learn({"shared", deadly, "request:" + std::to_string(i) + deadly});
        }
    }
    fixture.answer({"shared"}, 8);
    BOOST_TEST(fixture.is_quarantined({"deadly-1", "request:9"}));
    BOOST_TEST(fixture.is_quarantined({"shared", "deadly-2", "request:9"}));
    BOOST_TEST(!fixture.is_quarantined({"shared", "request:9"}));
}

BOOST_AUTO_TEST_CASE(crashes_of_unrelated_requests_quarantine_nothing)
{
    evidence_fixture fixture;
    for (int i = 0; i < 20; ++i) {
        const std::string number = std::to_string(i);
        BOOST_TEST(fixture.crash({"shared-" + number, "request:" + number}) == 1U);
        BOOST_TEST(!fixture.is_quarantined({"shared-" + number, "request:" + number}));
    }
}

// Guards against a request that comes to another instance each time and crashes a target there.
BOOST_AUTO_TEST_CASE(a_crash_is_reported_at_once_and_only_once)
{
    evidence_fixture fixture;
    for (int i = 0; i < 3; ++i) {
        BOOST_TEST(fixture.crash({"part", "request:1"}) == 1U);
        BOOST_TEST(fixture.evidence.take_reports().empty());
    }
}

BOOST_AUTO_TEST_CASE(a_crash_of_a_request_whose_traits_are_all_cleared_is_not_reported)
{
    evidence_fixture fixture;
    fixture.answer({"part", "request:1"}, 3);
    BOOST_TEST(fixture.crash({"part", "request:1"}) == 0U);
}

BOOST_AUTO_TEST_CASE(records_expire_and_are_bounded)
{
    evidence_fixture fixture;
    for (int i = 0; i < 3; ++i) {
        fixture.crash({"part", "request:1"});
    }
    BOOST_TEST((*fixture.evidence.quarantine_of(fixture.service, {"part", "request:1"},
                                                fixture.now) == 10s));
    fixture.now += 5min;
    BOOST_TEST(fixture.evidence.take_expired(fixture.now).size() == 3U);
    BOOST_TEST(!fixture.is_quarantined({"part", "request:1"}));
    for (int i = 0; i < 1000; ++i) {
        fixture.learn({"part-" + std::to_string(i)});
    }
    BOOST_TEST(fixture.evidence.size() == 512U);
}

BOOST_AUTO_TEST_CASE(reported_records_are_those_that_all_instances_were_told_of)
{
    relay::crash_evidence evidence;
    const core::instant now{};
    const core::service_name service{"engines"};
    evidence.add(relay::crash_record{"other-1", service, {"a"}}, now);
    evidence.add_own(relay::crash_record{"self-0", service, {"b"}}, now);
    BOOST_REQUIRE(evidence.reported().size() == 1U);
    BOOST_TEST(evidence.reported().front().name == "other-1");
    BOOST_REQUIRE(evidence.take_reports().size() == 1U);
    BOOST_TEST(evidence.reported().size() == 2U);
    BOOST_TEST(evidence.take_reports().empty());
}

// Guards against refusals of sound requests that ran beside a deadly one.
BOOST_AUTO_TEST_CASE(requests_beside_a_deadly_one_are_not_suspected)
{
    evidence_fixture fixture;
    for (int i = 0; i < 4; ++i) {
        const std::string number = std::to_string(i);
        fixture.learn_of("t-" + number, {"shared", "deadly", "request:1" + number});
        fixture.learn_of("t-" + number, {"shared", "request:2" + number});
        fixture.learn_of("t-" + number, {"shared", "request:3"});
    }
    BOOST_TEST(fixture.is_quarantined({"shared", "deadly", "request:5"}));
    BOOST_TEST(!fixture.is_quarantined({"shared", "request:3"}));
    BOOST_TEST(!fixture.is_quarantined({"shared", "request:6"}));
}

BOOST_AUTO_TEST_CASE(several_requests_on_one_target_are_of_one_crash)
{
    evidence_fixture fixture;
    for (int i = 0; i < 9; ++i) {
        fixture.learn_of("t-" + std::to_string(i % 2), {"part", "request:" + std::to_string(i)});
    }
    BOOST_TEST(!fixture.is_quarantined({"part", "request:10"}));
    fixture.learn_of("t-2", {"part", "request:11"});
    BOOST_TEST(fixture.is_quarantined({"part", "request:10"}));
}

// Guards against refusals by an instance that has just started, which has seen no answers.
BOOST_AUTO_TEST_CASE(an_instance_that_has_just_started_takes_over_what_others_have_cleared)
{
    evidence_fixture informed;
    informed.answer({"shared"}, 8);
    std::vector<relay::crash_record> written;
    for (int i = 0; i < 8; ++i) {
        // Half of the targets crash without a deadly request.
        const request_traits traits =
            i % 2 == 0 ? request_traits{"shared", "deadly", "request:" + std::to_string(i)}
                       : request_traits{"shared", "request:" + std::to_string(i)};
        informed.evidence.add_own(
            relay::crash_record{"r" + std::to_string(i), informed.service, traits}, informed.now);
        for (const relay::crash_record& each : informed.evidence.take_reports()) {
            written.push_back(each);
        }
    }
    BOOST_TEST(!written.empty());
    evidence_fixture started;
    for (const relay::crash_record& each : written) {
        started.evidence.add(each, started.now);
    }
    BOOST_TEST(started.is_quarantined({"shared", "deadly", "request:9"}));
    BOOST_TEST(!started.is_quarantined({"shared", "request:9"}));
}

BOOST_AUTO_TEST_CASE(a_record_is_written_again_if_no_other_says_that_its_trait_was_answered)
{
    evidence_fixture fixture;
    for (int i = 0; i < 3; ++i) {
        fixture.learn_of("t-" + std::to_string(i), {"part", "request:" + std::to_string(i)});
    }
    BOOST_TEST(fixture.is_quarantined({"part", "request:9"}));
    BOOST_TEST(fixture.evidence.take_amendments().empty());
    fixture.answer({"part"}, 3);
    BOOST_TEST(!fixture.is_quarantined({"part", "request:9"}));
    const auto amended = fixture.evidence.take_amendments();
    BOOST_REQUIRE(amended.size() == 1U);
    BOOST_TEST((amended.front().answered == request_traits{"part"}));
    BOOST_TEST(fixture.evidence.take_amendments().empty());
    // Another instance has written over it.
    const relay::crash_record& first = amended.front();
    fixture.evidence.add(
        relay::crash_record{first.name, first.service, first.traits, first.incarnation},
        fixture.now);
    BOOST_TEST(fixture.evidence.take_amendments().size() == 1U);
}

// Guards against refusals of requests with equal content after ordinary crashes.
BOOST_AUTO_TEST_CASE(a_fingerprint_with_which_requests_are_answered_is_cleared)
{
    evidence_fixture fixture;
    const request_traits traits{"request:1"};
    fixture.answer(traits, 5);
    for (int i = 0; i < 5; ++i) {
        fixture.crash(traits);
    }
    BOOST_TEST(!fixture.is_quarantined(traits));
    // A request that crashes targets more often than it is answered.
    fixture.crash(traits);
    BOOST_TEST(fixture.is_quarantined(traits));
}

// Guards against sound requests that are refused for minutes, since nothing that is refused can be
// answered.
BOOST_AUTO_TEST_CASE(trials_clear_what_was_quarantined_wrongly)
{
    evidence_fixture fixture;
    const request_traits traits{"part", "request:1"};
    for (int i = 0; i < 3; ++i) {
        fixture.crash(traits);
    }
    const auto admits = [&] {
        return fixture.evidence.admit_trial(fixture.service, traits, fixture.now);
    };
    BOOST_TEST(!admits());
    fixture.now += 10s;
    BOOST_TEST(admits());
    BOOST_TEST(!admits());
    for (int i = 0; i < 2; ++i) {
        fixture.answer(traits, 1);
        BOOST_TEST(fixture.is_quarantined(traits));
        BOOST_TEST(admits());
    }
    fixture.answer(traits, 1);
    BOOST_TEST(!fixture.is_quarantined(traits));
}

BOOST_AUTO_TEST_CASE(trials_of_a_deadly_request_become_rare)
{
    evidence_fixture fixture;
    const request_traits traits{"part", "request:1"};
    for (int i = 0; i < 3; ++i) {
        fixture.crash(traits);
    }
    int trials = 0;
    for (const core::instant end = fixture.now + 5min; fixture.now < end; fixture.now += 100ms) {
        const auto left = fixture.evidence.quarantine_of(fixture.service, traits, fixture.now);
        BOOST_REQUIRE(left.has_value());
        BOOST_TEST(*left > core::duration::zero());
        if (fixture.evidence.admit_trial(fixture.service, traits, fixture.now)) {
            ++trials;
            fixture.crash(traits);
        }
    }
    // The rule of the platform allows three in all.
    BOOST_TEST(trials <= 3);
}
