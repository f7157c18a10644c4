#include "core/store_version.hpp"

#include "core/text.hpp"

namespace cyclamen::core {

std::string to_string(const store_version& version)
{
    return concat(version.era(), ".", version.number());
}

} // namespace cyclamen::core
