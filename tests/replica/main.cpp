#define BOOST_TEST_MODULE replica
#include <boost/test/unit_test.hpp>
