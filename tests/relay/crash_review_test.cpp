#include "relay/crash_review.hpp"

#include <boost/test/unit_test.hpp>

using namespace cyclamen;
using relay::attempt_stage;
using relay::contact_result;
using relay::crash_review;

namespace {

const core::wall_time started{std::chrono::milliseconds{1000}};
const core::wall_time restarted{std::chrono::milliseconds{2000}};

relay::target_record target(const std::string& name = "t-1")
{
    return relay::target_record{core::target_name{name},
                                core::service_name{"engines"},
                                core::socket_address{"10.1.0.1", 80},
                                core::failure_domain_name{"a"},
                                core::version_name{"v1"},
                                started,
                                1,
                                false};
}

relay::crash_record suspect(const std::string& name)
{
    return relay::crash_record{
        name, core::service_name{"engines"}, {"request:" + name}, "t-1@1000"};
}

/// @return number of suspects of one attempt that was lost before and one that was lost after its
///         target began to answer
std::size_t suspects_after(const relay::target_contact& contact)
{
    crash_review review;
    BOOST_TEST(review.add(target(), suspect("1"), attempt_stage::sent));
    BOOST_TEST(!review.add(target(), suspect("2"), attempt_stage::begun));
    const std::size_t found = review.on_checked(target(), contact).size();
    BOOST_TEST(review.size() == 0U);
    return found;
}

} // namespace

BOOST_AUTO_TEST_CASE(what_a_loss_tells_depends_on_what_is_found_at_the_target)
{
    BOOST_TEST(suspects_after({contact_result::refused}) == 2U);
    BOOST_TEST(suspects_after({contact_result::silent}) == 1U);
    BOOST_TEST(suspects_after({contact_result::answered}) == 0U);
    BOOST_TEST(suspects_after({contact_result::answered, core::target_name{"t-1"}, started}) == 0U);
    BOOST_TEST(suspects_after({contact_result::answered, core::target_name{"t-2"}}) == 2U);
    BOOST_TEST(suspects_after({contact_result::answered, {}, restarted}) == 2U);
}

BOOST_AUTO_TEST_CASE(targets_are_checked_apart_and_once_at_a_time)
{
    crash_review review;
    BOOST_TEST(review.add(target("t-1"), suspect("1"), attempt_stage::sent));
    BOOST_TEST(review.add(target("t-2"), suspect("2"), attempt_stage::sent));
    BOOST_TEST(!review.add(target("t-1"), suspect("3"), attempt_stage::sent));
    BOOST_TEST(review.on_checked(target("t-1"), {contact_result::refused}).size() == 2U);
    BOOST_TEST(review.on_checked(target("t-1"), {contact_result::refused}).empty());
    BOOST_TEST(review.add(target("t-1"), suspect("4"), attempt_stage::sent));
    BOOST_TEST(review.size() == 2U);
}
