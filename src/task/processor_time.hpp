#pragma once

#include "core/time.hpp"

namespace cyclamen::task {

/// @return processor time that the calling thread has used
[[nodiscard]] core::duration thread_processor_time();

/// @return processor time that all threads of the process have used
[[nodiscard]] core::duration process_processor_time();

} // namespace cyclamen::task
