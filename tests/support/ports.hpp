#pragma once

#include <stdexcept>

#include "core/free_address.hpp"

namespace cyclamen::test {

/// @return a loopback address that was free at the time of the call
/// @throws std::runtime_error if there is none
inline core::socket_address free_address()
{
    const auto found = core::find_free_loopback_address();
    if (!found.ok()) {
        throw std::runtime_error{std::string{found.status().message()}};
    }
    return *found;
}

} // namespace cyclamen::test
