#define BOOST_TEST_MODULE config
#include <boost/test/unit_test.hpp>

#include "core/log.hpp"

namespace {

struct errors_only_log {
    errors_only_log() { cyclamen::core::set_log_level(cyclamen::core::log_level::error); }
};

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(errors_only_log);
