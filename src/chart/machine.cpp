#include "chart/machine.hpp"

#include <cassert>

namespace cyclamen::chart {

machine::machine(std::shared_ptr<const chart> definition)
    : definition_{std::move(definition)}, current_{definition_->initial()}
{
}

void machine::start(machine_host& host)
{
    apply(enter(*definition_), host);
}

bool machine::raise(symbol event, machine_host& host)
{
    assert(!is_applying_ && "an action must not raise an event on its own machine");
    const step_result result = step(*definition_, current_, event, host);
    if (result.handled) {
        apply(result, host);
    }
    return result.handled;
}

bool machine::is_in(std::string_view ancestor) const
{
    const auto index = definition_->find(ancestor);
    return index.has_value() && definition_->is_within(current_, *index);
}

void machine::apply(const step_result& result, machine_host& host)
{
    is_applying_ = true;
    current_ = result.state;
    for (const state_timeout& timeout : result.stopped) {
        host.stop_timer(timeout);
    }
    for (const symbol action : result.actions) {
        host.perform(action);
    }
    for (const state_timeout& timeout : result.started) {
        host.start_timer(timeout);
    }
    is_applying_ = false;
}

} // namespace cyclamen::chart
