#include "limits/retry_budget.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace cyclamen;

namespace {

const core::account_name chain{"chain"};
const core::account_name small{"small"};
const core::service_name orders{"orders"};

} // namespace

RC_BOOST_PROP(retries_never_exceed_the_initial_budget_plus_the_earned_ones, ())
{
    const limits::retry_budget_settings settings;
    limits::retry_budget budget;
    int successes = 0;
    int retries = 0;
    for (const bool success :
         *rc::gen::container<std::vector<bool>>(500, rc::gen::arbitrary<bool>())) {
        if (success) {
            ++successes;
            budget.on_success(chain, orders);
        }
        else {
            retries += budget.try_acquire(chain, orders) ? 1 : 0;
        }
        RC_ASSERT(retries <=
                  settings.max_retries + settings.retries_per_success * successes + 1e-6);
    }
}

BOOST_AUTO_TEST_CASE(budgets_are_separate_by_account_and_full_ones_are_not_stored)
{
    limits::retry_budget budget;
    while (budget.try_acquire(chain, orders)) {
    }
    BOOST_TEST(!budget.try_acquire(chain, orders));
    BOOST_TEST(budget.try_acquire(small, orders));
    for (int i = 0; i < 200; ++i) {
        budget.on_success(chain, orders);
        budget.on_success(small, orders);
    }
    BOOST_TEST(budget.size() == 0U);
    BOOST_TEST(budget.try_acquire(chain, orders));
}
