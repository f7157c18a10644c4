#include "routing/target_pool.hpp"

#include <cassert>

namespace cyclamen::routing {

void target_pool::begin_configuration()
{
    targets_.clear();
    average_valid_until_ = core::instant{core::duration::min()};
    for (const auto& [name, state] : states_) {
        state->declared = nullptr;
    }
}

target_state& target_pool::declare(const model::target& declared, target_number number,
                                   const health_settings& settings,
                                   const std::shared_ptr<const chart::chart>& definition)
{
    std::unique_ptr<target_state>& state = states_[declared.name];
    if (state == nullptr) {
        state.reset(new target_state{&declared, number,
                                     std::make_unique<target_health>(settings, definition, *this)});
    }
    state->declared = &declared;
    targets_.push_back(state.get());
    return *state;
}

std::vector<target_number> target_pool::remove_undeclared()
{
    std::vector<target_number> removed;
    std::erase_if(states_, [&](const auto& entry) {
        const bool gone = entry.second->declared == nullptr;
        if (gone) {
            removed.push_back(entry.second->number);
        }
        return gone;
    });
    return removed;
}

double target_pool::average_other_load(core::instant now)
{
    if (now < average_valid_until_) {
        return average_other_load_;
    }
    double sum = 0.0;
    double count = 0.0;
    for (const target_state* state : targets_) {
        if (state->load.reported_other_load().has_value()) {
            sum += *state->load.reported_other_load();
            count += 1.0;
        }
    }
    average_other_load_ = count > 0.0 ? sum / count : 0.0;
    average_valid_until_ = now + average_refresh_period;
    return average_other_load_;
}

bool target_pool::can_eject_another() const
{
    return static_cast<double>(ejected_ + 1) <=
           max_ejected_fraction_ * static_cast<double>(states_.size());
}

void target_pool::on_ejection_changed(bool ejected)
{
    assert(ejected || ejected_ > 0);
    ejected_ = ejected ? ejected_ + 1 : ejected_ - 1;
}

} // namespace cyclamen::routing
