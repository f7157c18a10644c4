#include "core/descriptor_limit.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <limits>

namespace cyclamen::core {

int descriptor_limit()
{
    constexpr int unlimited = std::numeric_limits<int>::max();
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
        return unlimited;
    }
    return static_cast<int>(std::min<rlim_t>(limit.rlim_cur, unlimited));
}

} // namespace cyclamen::core
