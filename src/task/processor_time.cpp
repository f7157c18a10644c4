#include "task/processor_time.hpp"

#include <ctime>

namespace cyclamen::task {

namespace {

core::duration read_clock(clockid_t clock)
{
    timespec used{};
    clock_gettime(clock, &used);
    return std::chrono::seconds{used.tv_sec} + std::chrono::nanoseconds{used.tv_nsec};
}

} // namespace

core::duration thread_processor_time()
{
    return read_clock(CLOCK_THREAD_CPUTIME_ID);
}

core::duration process_processor_time()
{
    return read_clock(CLOCK_PROCESS_CPUTIME_ID);
}

} // namespace cyclamen::task
