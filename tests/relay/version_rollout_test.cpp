#include "relay/version_rollout.hpp"

#include <vector>

#include <boost/test/unit_test.hpp>

#include "chart/library.hpp"

using namespace cyclamen;
using namespace std::chrono_literals;

namespace {

const core::version_name old_version{"v1"};
const core::version_name new_version{"v2"};

/// A rollout as seen by the first of several instances, in virtual time.
class rollout_fixture final : private relay::rollout_host {
  public:
    explicit rollout_fixture(std::size_t instances = 1)
        : instances_{instances}, rollout_{order,
                                          core::instance_name{"i-0"},
                                          settings_,
                                          *chart::library::embedded().load(
                                              "version_rollout", relay::rollout_vocabulary()),
                                          static_cast<relay::rollout_host&>(*this),
                                          now_}
    {
    }

    /// Admits requests and lets them end well or badly.
    /// @return number of requests that were sent to the new version
    int serve(int requests, bool new_is_good)
    {
        int exposed = 0;
        for (int i = 0; i < requests; ++i) {
            const auto rule = rollout_.admit(true, now_);
            const bool is_new = rule.has_value() && rule->required;
            exposed += is_new ? 1 : 0;
            rollout_.count(is_new ? new_version : old_version, !is_new || new_is_good, now_);
            advance(100ms);
        }
        return exposed;
    }

    void advance(core::duration time)
    {
        const core::instant end = now_ + time;
        for (auto due = rollout_.next_deadline(); due.has_value() && *due <= end;
             due = rollout_.next_deadline()) {
            now_ = std::max(now_, *due);
            rollout_.on_timer(now_);
        }
        now_ = end;
    }

    void learn(const std::string& instance, const relay::version_counts& counts)
    {
        rollout_.on_evidence(relay::rollout_evidence{order.service, order.version,
                                                     core::instance_name{instance},
                                                     order.store_version, counts},
                             now_);
    }

    void end(relay::rollout_state state, const core::store_version& store_version)
    {
        rollout_.on_outcome(
            relay::rollout_outcome{order.service, order.version, state, store_version}, now_);
    }

    /// Takes the same order from a restored store.
    void renew(const core::store_version& store_version)
    {
        rollout_.renew(
            relay::rollout_order{order.service, order.version, order.time_limit, store_version},
            now_);
    }

    /// @return true if a further request may be sent to a target of the new version
    [[nodiscard]] bool admits_new()
    {
        const auto rule = rollout_.admit(false, now_);
        return !rule.has_value() || rule->admits(new_version);
    }

    const relay::rollout_order order{core::service_name{"engines"}, new_version, 15s, {1, 7}};
    std::vector<bool> written;
    std::size_t reports = 0;
    bool target_listed = true;

  private:
    const relay::rollout_settings settings_;
    const std::size_t instances_;
    core::instant now_{};
    relay::version_rollout rollout_;

    [[nodiscard]] std::pair<std::size_t, std::size_t> position() const override
    {
        return {0, instances_};
    }
    [[nodiscard]] bool has_target(const relay::rollout_order& /*order*/) const override
    {
        return target_listed;
    }
    void write_outcome(const relay::rollout_order& /*order*/, bool completed) override
    {
        written.push_back(completed);
    }
    void write_evidence(const relay::rollout_evidence& /*evidence*/) override { ++reports; }
};

} // namespace

BOOST_AUTO_TEST_CASE(a_bad_version_is_rolled_back_after_a_few_requests)
{
    rollout_fixture fixture;
    BOOST_TEST(fixture.serve(100, false) <= 5);
    BOOST_TEST(!fixture.written.empty());
    BOOST_TEST(!fixture.written.front());
    BOOST_TEST(!fixture.admits_new());
    BOOST_TEST(fixture.reports > 0U);
}

BOOST_AUTO_TEST_CASE(a_good_version_gets_few_requests_at_first_and_is_completed_in_time)
{
    rollout_fixture fixture;
    // The slack and the ratio allow 50 and a tenth of 100.
    BOOST_TEST(fixture.serve(100, true) <= 60);
    BOOST_TEST(fixture.written.empty());
    fixture.advance(1600ms);
    BOOST_TEST(fixture.admits_new());
    fixture.advance(2s);
    BOOST_TEST(!fixture.written.empty());
    BOOST_TEST(fixture.written.front());
    // It is written again until the store has it.
    const std::size_t written = fixture.written.size();
    fixture.advance(2s);
    BOOST_TEST(fixture.written.size() == written + 1);
    fixture.end(relay::rollout_state::completed, {1, 8});
    fixture.advance(10s);
    BOOST_TEST(fixture.written.size() == written + 1);
    BOOST_TEST(fixture.admits_new());
}

BOOST_AUTO_TEST_CASE(a_version_without_enough_evidence_is_rolled_back_at_the_deadline)
{
    rollout_fixture fixture;
    fixture.target_listed = false;
    BOOST_TEST(fixture.serve(100, true) == 0);
    fixture.advance(5s);
    BOOST_TEST(!fixture.written.empty());
    BOOST_TEST(!fixture.written.front());
}

BOOST_AUTO_TEST_CASE(evidence_of_other_instances_counts)
{
    rollout_fixture fixture{12};
    fixture.learn("i-1", relay::version_counts{5, 0, 0, 2});
    fixture.advance(1s);
    BOOST_TEST(fixture.written.empty());
    fixture.learn("i-2", relay::version_counts{5, 0, 0, 1});
    fixture.advance(1s);
    BOOST_TEST(fixture.written.size() == 1U);
}

BOOST_AUTO_TEST_CASE(faults_that_strike_both_versions_blame_neither)
{
    rollout_fixture fixture{12};
    fixture.learn("i-1", relay::version_counts{4, 6, 3, 3});
    fixture.advance(1s);
    BOOST_TEST(fixture.written.empty());
}

BOOST_AUTO_TEST_CASE(the_outcome_that_another_instance_has_written_counts)
{
    rollout_fixture fixture{12};
    // An outcome from before the order belongs to an earlier one.
    fixture.end(relay::rollout_state::completed, {1, 6});
    BOOST_TEST(!fixture.admits_new());
    fixture.end(relay::rollout_state::running, {1, 8});
    BOOST_TEST(!fixture.admits_new());
    fixture.end(relay::rollout_state::rolled_back, {1, 9});
    BOOST_TEST(fixture.serve(100, true) == 0);
    BOOST_TEST(fixture.written.empty());
}

BOOST_AUTO_TEST_CASE(all_instances_together_expose_no_more_than_allowed)
{
    // 144 instances with five requests each: 0.1 of 720 requests and 50 are allowed.
    int exposed = 0;
    for (int i = 0; i < 144; ++i) {
        rollout_fixture fixture{144};
        exposed += fixture.serve(5, true);
    }
    BOOST_TEST(exposed <= 122);
}

BOOST_AUTO_TEST_CASE(evidence_is_written_until_the_store_lists_it)
{
    rollout_fixture fixture{12};
    fixture.target_listed = true;
    BOOST_TEST(fixture.serve(1, false) == 1);
    fixture.advance(1s);
    const std::size_t reports = fixture.reports;
    BOOST_TEST(reports > 1U);
    fixture.learn("i-0", relay::version_counts{0, 0, 0, 1});
    fixture.advance(1s);
    BOOST_TEST(fixture.reports == reports);
}

BOOST_AUTO_TEST_CASE(an_outcome_that_a_restore_of_the_store_lost_is_written_again)
{
    rollout_fixture fixture;
    fixture.end(relay::rollout_state::rolled_back, {1, 9});
    fixture.renew({2, 4});
    BOOST_TEST(!fixture.admits_new());
    fixture.advance(1s);
    BOOST_TEST((fixture.written == std::vector<bool>{false}));
    fixture.end(relay::rollout_state::rolled_back, {2, 5});
    fixture.advance(10s);
    BOOST_TEST(fixture.written.size() == 1U);
}

BOOST_AUTO_TEST_CASE(
    a_rollout_that_a_restored_store_lists_again_keeps_its_evidence_and_its_deadline)
{
    rollout_fixture fixture;
    BOOST_TEST(fixture.serve(100, true) > 0);
    fixture.renew({2, 4});
    BOOST_TEST(fixture.reports > 0U);
    fixture.advance(5s);
    BOOST_TEST((fixture.written == std::vector<bool>{true}));
}
