#include <algorithm>

#include "core/hash.hpp"
#include "core/log.hpp"
#include "core/text.hpp"
#include "relay/relay_manager.hpp"

/// @file
/// Requests that crash the targets that run them.

namespace cyclamen::relay {

void relay_manager::on(const crashes_listed& update)
{
    for (const std::string& each : update.gone) {
        crashes_.remove(each);
    }
    for (const crash_record& each : update.present) {
        crashes_.add(each, now_);
        core::log_event(core::log_level::info, "crash_learnt",
                        {{"record", each.name},
                         {"service", each.service.str()},
                         {"incarnation", each.incarnation},
                         {"traits", core::join(each.traits, ",")},
                         {"answered", core::join(each.answered, ",")}});
    }
}

bool relay_manager::reports_again(const crash_record& lost) const
{
    const auto is_writer = [&lost](const core::instance_name& name) {
        return lost.name.starts_with(core::concat(name.str(), "-"));
    };
    const std::vector<member> members = members_.members();
    const bool writer_listed = std::any_of(
        members.begin(), members.end(), [&](const member& each) { return is_writer(each.name); });
    // One instance of the fleet stands in for those that have ended.
    return is_writer(settings_.name) || (!writer_listed && is_first_member());
}

void relay_manager::on(const crashes_restored& restored)
{
    for (const crash_record& each : crashes_.reported()) {
        if (!restored.present.contains(each.name) && reports_again(each)) {
            core::log_event(core::log_level::info, "crash_row_lost", {{"record", each.name}});
            host_.send(report_crash{each});
        }
    }
}

request_traits relay_manager::traits_of(const submission& submitted,
                                        const core::account_name& account)
{
    request_traits traits{submitted.shared_parts.begin(), submitted.shared_parts.end()};
    traits.insert(core::concat(
        fingerprint_prefix,
        core::hash_of(account.str(), core::hash_of(submitted.content->path,
                                                   core::hash_of(submitted.content->body)))));
    return traits;
}

std::optional<core::duration> relay_manager::quarantine_of(const request_plan& plan)
{
    return crashes_.quarantine_of(plan.service, plan.traits, now_);
}

void relay_manager::on_suspicious_loss(const request_plan& plan, core::attempt_number attempt,
                                       const target_record& target, attempt_stage stage)
{
    // A target that leaves ends by itself, with the attempts that it has left.
    if (!targets_.is_serving(target, now_)) {
        return;
    }
    const crash_record suspect{
        core::concat(settings_.name.str(), "-", core::hash_of(plan.submitted.content->id), "-",
                     attempt.value()),
        plan.service, plan.traits, incarnation_name(target.name, target.started_at)};
    if (crash_review_.add(target, suspect, stage)) {
        const service_traits* service = table_->find_service(plan.service);
        host_.send(check_target{target, service == nullptr || service->engine.has_value()
                                            ? std::string{}
                                            : service->health_path});
    }
}

void relay_manager::on(const target_checked& report)
{
    const std::vector<crash_record> suspects =
        crash_review_.on_checked(report.target, report.contact);
    core::log_event(core::log_level::info, "target_checked",
                    {{"target", report.target.name.str()},
                     {"result", to_text(report.contact.result)},
                     {"name", report.contact.name.str()},
                     {"born_ms", report.contact.started_at.time_since_epoch().count()},
                     {"suspects", suspects.size()}});
    for (const crash_record& each : suspects) {
        crashes_.add_own(each, now_);
    }
    report_crashes();
}

void relay_manager::on_survived(const request_plan& plan)
{
    crashes_.add_answered(plan.service, plan.traits);
}

void relay_manager::report_crashes()
{
    write_crashes(crashes_.take_reports());
}

void relay_manager::write_crashes(const std::vector<crash_record>& records)
{
    for (const crash_record& each : records) {
        core::log_event(core::log_level::warning, "crash_reported",
                        {{"record", each.name},
                         {"service", each.service.str()},
                         {"incarnation", each.incarnation},
                         {"traits", core::join(each.traits, ",")},
                         {"answered", core::join(each.answered, ",")},
                         {"known_crashes", crashes_.size()}});
        host_.send(report_crash{each});
    }
}

bool relay_manager::admit_trial(const submission& submitted, const core::service_name& service,
                                const request_traits& accused)
{
    // Each trial may cost a target, so one instance of the fleet makes them all.
    const bool admitted = is_first_member() && crashes_.admit_trial(service, accused, now_);
    if (admitted) {
        core::log_event(core::log_level::info, "quarantine_trial",
                        {{"request", submitted.content->id}, {"service", service.str()}});
    }
    return admitted;
}

bool relay_manager::is_first_member() const
{
    const std::vector<member> members = members_.members();
    return !members.empty() && members.front().name == settings_.name;
}

void relay_manager::withdraw_expired_crashes()
{
    const std::vector<std::string> expired = crashes_.take_expired(now_);
    if (is_first_member()) {
        for (const std::string& each : expired) {
            host_.send(withdraw_crash{each});
        }
    }
}

} // namespace cyclamen::relay
