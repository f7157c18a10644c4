#pragma once

#include <boost/test/unit_test.hpp>

#include "http/request_task.hpp"

namespace cyclamen::test {

/// Sends a GET request. The test fails if there is no answer within 10 s.
/// @return the answer
inline http::request_result http_get(const core::socket_address& address, const std::string& path)
{
    const auto result =
        http::fetch(address, http::request{"GET", path, {}, ""}, std::chrono::seconds{10});
    BOOST_REQUIRE_MESSAGE(result.ok(), std::string{result.status().message()});
    return *result;
}

} // namespace cyclamen::test
