#include "instance/routing_component.hpp"

#include <algorithm>

#include "core/hash.hpp"
#include "core/log.hpp"

namespace cyclamen::instance {

routing_component::routing_component(core::instance_name self, routing::target_observer& targets,
                                     limits::fleet_observer& fleet, senders& out)
    : self_{std::move(self)}, targets_{targets}, fleet_{fleet}, out_{out}
{
}

void routing_component::on_start(core::instant now)
{
    next_query_at_ = now;
}

void routing_component::on_configuration(const model::configuration_ptr& configuration,
                                         core::instant /*now*/)
{
    configuration_ = configuration;
    queried_.clear();
    for (const model::target& each : configuration->targets) {
        // Only engines report their load; a plain service would treat the query as a call.
        const model::service* service = configuration->find_service(each.service);
        if (service != nullptr && service->kind == model::service_kind::generation) {
            queried_.push_back(&each);
        }
    }
    // Each instance uses a different order, so that not all instances query a target at the same
    // time and, if there are more targets than one instance queries, each is queried by some
    // instance.
    const std::uint64_t key = core::hash_of(self_.str());
    std::ranges::sort(queried_, {}, [&](const model::target* each) {
        return core::rendezvous_weight(key, each->name.str());
    });
    queried_.resize(std::min(queried_.size(), max_queried_targets));
    std::erase_if(reported_, [&](const auto& each) {
        return configuration->find_target(each.first) == nullptr;
    });
}

void routing_component::on_message(const decision_message& message, core::instant now)
{
    if (const auto* event = std::get_if<api::target_event>(&message)) {
        std::visit([&](const auto& each) { handle(each, now); }, *event);
    }
}

void routing_component::on_timer(core::instant now)
{
    next_query_at_ = now + query_interval / batches_per_interval;
    for (std::size_t i = next_batch_; i < queried_.size(); i += batches_per_interval) {
        const model::target& each = *queried_[i];
        out_.status.send(
            api::ask_target{each.name, each.address, reported_[each.name].last_change});
    }
    next_batch_ = (next_batch_ + 1) % batches_per_interval;
}

void routing_component::handle(const api::target_load_report& report, core::instant now)
{
    const model::target* declared = configuration_->find_target(report.target);
    if (declared == nullptr) {
        return;
    }
    reported_state& state = reported_[report.target];
    const bool changed = state.capacity != report.capacity || state.leaving != report.leaving;
    if (report.leaving && !state.leaving) {
        targets_.on_leaving(report.target, now);
    }
    else if (!report.leaving && state.leaving) {
        targets_.on_returned(report.target, now);
    }
    if (report.leaving != state.leaving) {
        core::log_event(core::log_level::info, "target_leaving",
                        {{"target", report.target.str()}, {"leaving", report.leaving ? 1 : 0}});
    }
    state.capacity = report.capacity;
    state.leaving = report.leaving;
    targets_.on_load(report.target, {report.running, report.waiting, report.capacity, report.age},
                     now);
    if (changed) {
        publish_capacity(declared->service);
    }
}

void routing_component::handle(const api::target_cache_change& change, core::instant now)
{
    const auto known = reported_.find(change.target);
    if (known != reported_.end()) {
        known->second.last_change = change.number;
        targets_.on_cache(change.target, {change.number, change.stored, change.dropped, change.age},
                          now);
    }
}

void routing_component::handle(const api::target_query_failed& failure, core::instant /*now*/)
{
    core::log_event(core::log_level::debug, "target_silent",
                    {{"target", failure.target.str()}, {"detail", failure.detail}});
}

void routing_component::publish_capacity(const core::service_name& service)
{
    double reported_capacity = 0.0;
    double reporting_targets = 0.0;
    double other_targets = 0.0;
    for (const model::target& each : configuration_->targets) {
        const auto known = reported_.find(each.name);
        if (each.service != service || (known != reported_.end() && known->second.leaving)) {
            continue;
        }
        const bool reports = known != reported_.end() && known->second.capacity > 0;
        reported_capacity += reports ? known->second.capacity : 0.0;
        (reports ? reporting_targets : other_targets) += 1.0;
    }
    if (reporting_targets > 0.0) {
        // Targets that report no capacity, or that this instance doesn't query, are assumed to have
        // the average capacity of those that do report.
        fleet_.on_capacity(service, reported_capacity * (reporting_targets + other_targets) /
                                        reporting_targets);
    }
}

} // namespace cyclamen::instance
