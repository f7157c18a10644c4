#define BOOST_TEST_MODULE call
#include <boost/test/unit_test.hpp>

#include "core/log.hpp"

namespace {

/// Raises the log level to error: unknown outcomes are logged as warnings, and these tests cause
/// many of them.
struct error_log_only {
    error_log_only() { cyclamen::core::set_log_level(cyclamen::core::log_level::error); }
};

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(error_log_only);
