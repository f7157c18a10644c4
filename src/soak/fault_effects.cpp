#include "soak/fault_effects.hpp"

#include <map>

namespace cyclamen::soak {

using standin::row_store_fault;
using standin::runner_fault;

namespace {

constexpr std::chrono::milliseconds min_copy_age{1'000};
constexpr std::chrono::milliseconds max_copy_age{10'000};
/// Longest time until the rows of the operator and the runners are back.
constexpr std::chrono::milliseconds max_rewrite_delay{1'500};

} // namespace

proxy_mode proxy_mode_for(fault_kind kind)
{
    switch (kind) {
    case fault_kind::store_delayed:
    case fault_kind::runner_delayed:
        return proxy_mode::delay;
    case fault_kind::store_reset:
    case fault_kind::runner_reset:
        return proxy_mode::reset;
    case fault_kind::store_cut:
    case fault_kind::runner_cut:
        return proxy_mode::cut;
    default:
        return proxy_mode::one_way;
    }
}

runner_fault runner_fault_for(fault_kind kind)
{
    const std::map<fault_kind, runner_fault> faults{
        {fault_kind::runner_killed, runner_fault::killed},
        {fault_kind::runner_dark, runner_fault::dark},
        {fault_kind::runner_shedding, runner_fault::shedding},
        {fault_kind::runner_failing, runner_fault::failing},
        {fault_kind::runner_losing, runner_fault::losing},
        {fault_kind::runner_cutting, runner_fault::cutting},
        {fault_kind::runner_mixing, runner_fault::mixing},
        {fault_kind::runner_garbling, runner_fault::garbling},
        {fault_kind::runner_ambiguous, runner_fault::ambiguous},
        {fault_kind::runner_channels_silent, runner_fault::channels_silent},
        {fault_kind::runner_paused, runner_fault::paused}};
    return faults.at(kind);
}

row_store_fault store_fault_for(fault_kind kind)
{
    const std::map<fault_kind, row_store_fault> faults{
        {fault_kind::store_silent, row_store_fault::silent},
        {fault_kind::store_down, row_store_fault::down},
        {fault_kind::store_busy, row_store_fault::busy},
        {fault_kind::store_losing, row_store_fault::losing},
        {fault_kind::store_slow, row_store_fault::slow}};
    return faults.at(kind);
}

standin::restore_copy copy_for(const planned_fault& fault)
{
    const std::chrono::milliseconds age =
        min_copy_age +
        std::chrono::milliseconds{fault.subject % (max_copy_age - min_copy_age).count()};
    const std::chrono::milliseconds delay{fault.subject % max_rewrite_delay.count()};
    return standin::restore_copy{age, fault.length, delay};
}

} // namespace cyclamen::soak
