#include "instance/routing_component.hpp"

#include <algorithm>

#include "core/hash.hpp"
#include "core/log.hpp"

namespace cyclamen::instance {

routing_component::routing_component(core::instance_name self, routing::target_observer& news,
                                     limits::fleet_observer& fleet, senders& out)
    : self_{std::move(self)}, news_{news}, fleet_{fleet}, out_{out}
{
}

void routing_component::on_start(core::instant now)
{
    due_ = now;
}

void routing_component::on_configuration(const model::configuration_ptr& configuration,
                                         core::instant /*now*/)
{
    configuration_ = configuration;
    asked_.clear();
    for (const model::target& each : configuration->targets) {
        // Only engines tell their load; a plain service would take the question for a call.
        const model::service* service = configuration->find_service(each.service);
        if (service != nullptr && service->kind == model::service_kind::generation) {
            asked_.push_back(&each);
        }
    }
    // Each instance has an order of its own, so that not all ask a target at the same moment and
    // each target is asked by some where there are too many for all.
    const std::uint64_t key = core::hash_of(self_.str());
    std::ranges::sort(asked_, {}, [&](const model::target* each) {
        return core::rendezvous_weight(key, each->name.str());
    });
    asked_.resize(std::min(asked_.size(), most_asked));
    std::erase_if(
        told_, [&](const auto& each) { return configuration->find_target(each.first) == nullptr; });
}

void routing_component::on_message(const decision_message& message, core::instant now)
{
    if (const auto* event = std::get_if<api::target_event>(&message)) {
        std::visit([&](const auto& each) { hear(each, now); }, *event);
    }
}

void routing_component::on_time(core::instant now)
{
    due_ = now + ask_period / steps;
    for (std::size_t i = step_; i < asked_.size(); i += steps) {
        const model::target& each = *asked_[i];
        out_.status.send(api::ask_target{each.name, each.address, told_[each.name].last_change});
    }
    step_ = (step_ + 1) % steps;
}

void routing_component::hear(const api::target_load_told& told, core::instant now)
{
    const model::target* declared = configuration_->find_target(told.target);
    if (declared == nullptr) {
        return;
    }
    told_state& state = told_[told.target];
    const bool changed = state.capacity != told.capacity || state.leaving != told.leaving;
    if (told.leaving && !state.leaving) {
        news_.on_leaving(told.target, now);
    }
    else if (!told.leaving && state.leaving) {
        news_.on_returned(told.target, now);
    }
    if (told.leaving != state.leaving) {
        core::log_event(core::log_level::info, "target_leaving",
                        {{"target", told.target.str()}, {"leaving", told.leaving ? 1 : 0}});
    }
    state.capacity = told.capacity;
    state.leaving = told.leaving;
    news_.on_load(told.target, {told.running, told.waiting, told.capacity, told.age}, now);
    if (changed) {
        tell_capacity(declared->service);
    }
}

void routing_component::hear(const api::target_cache_told& told, core::instant now)
{
    const auto known = told_.find(told.target);
    if (known != told_.end()) {
        known->second.last_change = told.number;
        news_.on_cache(told.target, {told.number, told.stored, told.dropped, told.age}, now);
    }
}

void routing_component::hear(const api::target_silent& silent, core::instant /*now*/)
{
    core::log_event(core::log_level::debug, "target_silent",
                    {{"target", silent.target.str()}, {"detail", silent.detail}});
}

void routing_component::tell_capacity(const core::service_name& service)
{
    double told = 0.0;
    double telling = 0.0;
    double silent = 0.0;
    for (const model::target& each : configuration_->targets) {
        const auto known = told_.find(each.name);
        if (each.service != service || (known != told_.end() && known->second.leaving)) {
            continue;
        }
        const bool tells = known != told_.end() && known->second.capacity > 0;
        told += tells ? known->second.capacity : 0.0;
        (tells ? telling : silent) += 1.0;
    }
    if (telling > 0.0) {
        // Targets that this instance does not ask are taken to be like those that it asks.
        fleet_.on_capacity(service, told * (telling + silent) / telling);
    }
}

} // namespace cyclamen::instance
