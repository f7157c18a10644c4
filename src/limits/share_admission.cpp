#include "limits/share_admission.hpp"

#include <algorithm>

namespace cyclamen::limits {

void share_admission::configure(model::configuration_ptr configuration)
{
    accounts_.clear();
    for (const model::client_account& each : configuration->accounts) {
        accounts_.emplace(each.name, each);
    }
    configuration_ = std::move(configuration);
}

std::optional<core::failure> share_admission::offer(const admission_request& request,
                                                    core::instant now)
{
    const auto account = accounts_.find(request.account);
    if (account == accounts_.end()) {
        constexpr bool not_run = true;
        return core::to_failure(core::make_error(core::error_kind::unauthenticated,
                                                 "the client account is no longer declared",
                                                 "ask an operator to declare the account"),
                                not_run);
    }
    service_admission& admission = admission_for(request.service);
    auto refused = admission.offer(request, now);
    if (!refused.has_value()) {
        admission_of_request_.emplace(request.id, &admission);
    }
    return refused;
}

admission_result share_admission::release(core::instant now)
{
    last_release_at_ = now;
    std::vector<core::generation_id> started;
    std::vector<late_refusal> refused;
    for (const auto& [service, each] : admissions_) {
        each->release(started, refused, now);
    }
    for (const late_refusal& each : refused) {
        admission_of_request_.erase(each.id);
    }
    return admission_result{std::move(started), std::move(refused)};
}

void share_admission::on_ended(core::generation_id id, bool complete, core::instant now)
{
    const auto found = admission_of_request_.find(id);
    if (found != admission_of_request_.end()) {
        found->second->on_ended(id, complete, now);
        admission_of_request_.erase(found);
    }
}

std::optional<core::instant> share_admission::next_deadline() const
{
    const bool waits = std::ranges::any_of(
        admissions_, [](const auto& each) { return each.second->has_waiting(); });
    return waits ? std::optional{last_release_at_ + settings_.share_update_period} : std::nullopt;
}

void share_admission::on_serving_instances(std::uint32_t serving)
{
    serving_ = serving;
    for (const auto& [service, each] : admissions_) {
        each->set_instance_count(serving);
    }
}

void share_admission::on_peer_demand(const demand_report& report, core::instant now)
{
    std::map<core::service_name, service_admission::demand_table> by_service;
    for (const account_demand& each : report.demand) {
        if (each.requests > 0) {
            by_service[each.service].emplace(each.account, each.requests);
        }
    }
    for (const auto& [service, each] : admissions_) {
        each->set_peer_demand(report.instance, std::move(by_service[service]), now);
    }
}

void share_admission::on_capacity(const core::service_name& service, double requests)
{
    admission_for(service).set_capacity(requests);
}

std::vector<account_demand> share_admission::demand() const
{
    std::vector<account_demand> reports;
    for (const auto& [service, each] : admissions_) {
        each->append_demand(service, reports);
    }
    return reports;
}

service_admission& share_admission::admission_for(const core::service_name& service)
{
    std::unique_ptr<service_admission>& found = admissions_[service];
    if (found == nullptr) {
        found = std::make_unique<service_admission>(settings_, accounts_);
        found->set_instance_count(serving_);
    }
    return *found;
}

} // namespace cyclamen::limits
