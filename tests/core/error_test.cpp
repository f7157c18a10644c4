#include "core/error.hpp"

#include <boost/test/unit_test.hpp>

#include "core/failure.hpp"

using namespace cyclamen;

BOOST_AUTO_TEST_CASE(an_error_keeps_its_kind_and_includes_the_remedy)
{
    const absl::Status status = core::make_error(
        core::error_kind::quarantined, "the prompt crashed two targets", "change the prompt");
    BOOST_TEST(!status.ok());
    BOOST_TEST((core::kind_of(status) == core::error_kind::quarantined));
    BOOST_TEST(std::string{status.message()} ==
               "the prompt crashed two targets; change the prompt");
}

BOOST_AUTO_TEST_CASE(failures_compare_by_value)
{
    const absl::Status status = core::make_error(core::error_kind::overloaded, "full", "wait");
    const core::failure rejected = core::to_failure(status, true);
    BOOST_TEST((rejected == core::to_failure(status, true)));
    BOOST_TEST((rejected != core::to_failure(status, false)));
}
