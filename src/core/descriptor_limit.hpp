#pragma once

namespace cyclamen::core {

/// @return number of file descriptors that this process may open
[[nodiscard]] int descriptor_limit();

} // namespace cyclamen::core
