#include "relay/relay_manager.hpp"

#include <algorithm>

#include "core/hash.hpp"
#include "core/log.hpp"
#include "core/text.hpp"
#include "limits/shared_send.hpp"

namespace cyclamen::relay {

namespace {

/// Delay of the timers that is logged as a stall of this instance.
constexpr core::duration reported_stall = std::chrono::milliseconds{100};

} // namespace

relay_manager::relay_manager(const relay_settings& settings, const relay_charts& charts,
                             std::unique_ptr<target_chooser> chooser,
                             limits::engine_admission::policy_factory make_start_policy,
                             std::unique_ptr<silence_policy> silence, relay_host& host,
                             std::unique_ptr<routing::pace_source> paces)
    : settings_{settings}, charts_{charts}, host_{host}, paces_{std::move(paces)},
      targets_{settings_, charts.target_health, std::move(chooser), *paces_},
      budget_{settings.retries}, admission_{std::move(make_start_policy)}, shares_{[] {
          return std::make_unique<limits::shared_send>();
      }},
      silence_{std::move(silence)}, lifecycle_{settings.lifecycle, charts.lifecycle, *this},
      members_{settings_.name, settings_.watch}, crashes_{settings_.crashes}
{
}

relay_manager::~relay_manager() = default;

void relay_manager::start(core::instant now)
{
    now_ = now;
    budget_.start(now);
    lifecycle_.start(now);
}

void relay_manager::handle(const relay_message& message, core::instant now)
{
    now_ = now;
    std::visit([this](const auto& each) { on(each); }, message);
    report_ending_targets();
}

void relay_manager::on_timer(core::instant now, core::instant heard_until)
{
    now_ = now;
    if (!deadline_order_.empty() && now - deadline_order_.begin()->first >= reported_stall) {
        core::log_event(core::log_level::info, "timers_late",
                        {{"late_ms", core::to_milliseconds(now - deadline_order_.begin()->first)},
                         {"open_requests", requests_.size()}});
    }
    while (!deadline_order_.empty() && deadline_order_.begin()->first <= heard_until) {
        const request_number number = deadline_order_.begin()->second;
        requests_.at(number)->on_timer(now, heard_until);
        update_or_remove(number);
    }
    lifecycle_.on_timer(now);
    review_rollouts();
    if (next_watch_at_.has_value() && *next_watch_at_ <= now) {
        watch();
    }
}

std::optional<core::instant> relay_manager::next_deadline() const
{
    std::optional<core::instant> next = lifecycle_.next_deadline();
    if (next_watch_at_.has_value()) {
        next = std::min(next.value_or(*next_watch_at_), *next_watch_at_);
    }
    for (const auto& [service, rollout] : rollouts_) {
        if (const auto due = rollout->next_deadline(); due.has_value()) {
            next = std::min(next.value_or(*due), *due);
        }
    }
    if (!deadline_order_.empty()) {
        next =
            std::min(next.value_or(deadline_order_.begin()->first), deadline_order_.begin()->first);
    }
    return next;
}

void relay_manager::on(const submission& submitted)
{
    if (table_ == nullptr) {
        refuse(submitted, core::error_kind::overloaded, unconfigured_problem,
               settings_.requests.retry_after);
        return;
    }
    const route* matched_route =
        table_->find_route(submitted.content->host, submitted.content->path);
    if (matched_route == nullptr) {
        refuse(submitted, core::error_kind::not_found, "no route matches the host and path",
               settings_.requests.retry_after);
        return;
    }
    const auto time_left = lifecycle_.time_for_requests(now_);
    if (time_left.has_value() &&
        (matched_route->kind == request_kind::streaming ||
         std::min(submitted.timeout, matched_route->answer_limit) > *time_left)) {
        // The request might outlast the process; another instance can serve all of it.
        refuse(submitted, core::error_kind::overloaded, "the instance is leaving",
               settings_.requests.retry_after);
        return;
    }
    core::account_name account;
    if (table_->needs_keys() && !matched_route->is_public) {
        const core::account_name* found = table_->find_account(submitted.key);
        if (found == nullptr) {
            refuse(submitted, core::error_kind::unauthenticated, "the API key is unknown",
                   settings_.requests.retry_after);
            return;
        }
        account = *found;
    }
    const core::service_name& service = pick_service(*matched_route, submitted);
    const service_traits* traits = table_->find_service(service);
    last_request_ = last_request_.next();
    const request_number number = last_request_;
    const bool has_engine = traits != nullptr && traits->engine.has_value();
    const request_traits accused = traits_of(submitted, account);
    const auto quarantine = crashes_.quarantine_of(service, accused, now_);
    const bool is_trial = quarantine.has_value() && admit_trial(submitted, service, accused);
    if (quarantine.has_value() && !is_trial) {
        refuse(submitted, core::error_kind::quarantined, quarantine_problem, *quarantine);
        return;
    }
    request_plan plan{number,
                      submitted,
                      *matched_route,
                      service,
                      has_engine ? traits->engine : std::nullopt,
                      account,
                      now_,
                      accused,
                      is_trial,
                      has_engine ? table_->urgency_of(service, *matched_route, account)
                                 : std::nullopt};
    on_arrival(plan);
    auto made =
        std::make_unique<relayed_request>(std::move(plan), settings_.requests, charts_.request,
                                          charts_.protection, static_cast<request_host&>(*this));
    relayed_request& started = *requests_.emplace(number, std::move(made)).first->second;
    callers_.emplace(submitted.caller, number);
    budget_.on_request(service, now_);
    started.start(now_);
    update_or_remove(number);
}

void relay_manager::on(const caller_gone& notice)
{
    const auto found = callers_.find(notice.caller);
    if (found != callers_.end()) {
        const request_number number = found->second;
        requests_.at(number)->on_caller_gone(now_);
        update_or_remove(number);
    }
}

void relay_manager::on(const configuration_read& update)
{
    if (table_ != nullptr && update.table->revision() <= table_->revision()) {
        return;
    }
    core::log_event(core::log_level::info, "configuration_applied",
                    {{"revision", update.table->revision().value()},
                     {"before", table_ == nullptr ? 0 : table_->revision().value()},
                     {"routes", update.table->routes().size()}});
    table_ = update.table;
    host_.send(limits_changed{table_->limits()});
    check_ready();
}

void relay_manager::on(const configuration_confirmed& confirmation)
{
    confirmation_.emplace(confirmation);
}

void relay_manager::on(const targets_listed& update)
{
    targets_.on_targets(update, now_);
    update_shares();
    check_ready();
}

void relay_manager::report_ending_targets()
{
    for (const core::target_name& target : targets_.take_ending_targets()) {
        for (const auto& [number, request] : requests_) {
            request->on_target_ending(target, now_);
            reschedule(number, *request);
        }
    }
}

void relay_manager::on(const stop_requested& /*request*/)
{
    lifecycle_.raise(entry_lifecycle_event::stop_ordered, now_);
}

void relay_manager::on(const target_notice& notice)
{
    targets_.on_notice(notice, now_);
}

void relay_manager::on(const target_reached& report)
{
    const auto found = requests_.find(report.request);
    if (found != requests_.end()) {
        found->second->on(report, now_);
        update_or_remove(report.request);
    }
}

void relay_manager::on(const target_answered& answer)
{
    const auto found = requests_.find(answer.request);
    if (found != requests_.end()) {
        found->second->on(answer, now_);
        update_or_remove(answer.request);
    }
}

template <class Report>
void relay_manager::on(const Report& report)
{
    const request_number number = report.attempt.request;
    const auto found = requests_.find(number);
    if (found != requests_.end() && found->second->is_current_attempt(report.attempt.number)) {
        found->second->on(report, now_);
        update_or_remove(number);
    }
}

void relay_manager::refuse(const submission& refused, core::error_kind kind,
                           std::string_view problem, core::duration retry_after)
{
    core::log_event(core::log_level::info, "request_refused",
                    {{"request", refused.content->id},
                     {"reason", problem},
                     {"host", refused.content->host},
                     {"path", refused.content->path},
                     {"revision", table_ == nullptr ? 0 : table_->revision().value()},
                     {"confirmed_by", confirming_source()},
                     {"confirmed_ms_ago", confirmation_age_ms()}});
    host_.send(answer_refused{refused.caller,
                              core::failure{kind, std::string{problem}, true, retry_after}});
}

std::string relay_manager::confirming_source() const
{
    if (!confirmation_.has_value()) {
        return "none";
    }
    const core::instance_name& source = confirmation_->get().source;
    return source.empty() ? "store" : source.str();
}

double relay_manager::confirmation_age_ms() const
{
    return confirmation_.has_value() ? core::to_milliseconds(now_ - confirmation_->get().at) : -1.0;
}

const core::service_name& relay_manager::pick_service(const route& matched_route,
                                                      const submission& submitted) const
{
    std::uint64_t total = 0;
    for (const weighted_service& share : matched_route.services) {
        total += share.weight;
    }
    std::uint64_t draw = total == 0 ? 0 : core::hash_of(submitted.content->id) % total;
    for (const weighted_service& share : matched_route.services) {
        if (draw < share.weight) {
            return share.service;
        }
        draw -= share.weight;
    }
    return matched_route.services.front().service;
}

void relay_manager::check_ready()
{
    if (table_ != nullptr && targets_.size() > 0) {
        lifecycle_.raise(entry_lifecycle_event::ready, now_);
    }
}

void relay_manager::update_or_remove(request_number number)
{
    const auto found = requests_.find(number);
    reschedule(number, *found->second);
    if (found->second->is_closed()) {
        const request_plan& plan = found->second->plan();
        admission_.on_ended(plan.service, number.value());
        shares_.on_ended(plan.service, number.value());
        callers_.erase(plan.submitted.caller);
        requests_.erase(found);
    }
}

void relay_manager::reschedule(request_number number, const relayed_request& request)
{
    const auto former = deadlines_.find(number);
    if (former != deadlines_.end()) {
        deadline_order_.erase({former->second, number});
        deadlines_.erase(former);
    }
    const auto next = request.is_closed() ? std::nullopt : request.next_deadline();
    if (next.has_value()) {
        deadlines_.emplace(number, *next);
        deadline_order_.emplace(*next, number);
    }
}

void relay_manager::on(const metrics_query& query)
{
    metrics_.on_connections_ended(query.ended);
    host_.send(metrics_answer{query.caller, metrics_.text(requests_.size(), targets_.size(),
                                                          paces_->known_uneven(now_))});
}

void relay_manager::on(const target_identified& report)
{
    // The address may now belong to another service, which only the models show.
    const service_traits* service = table_->find_unique_service(report.models);
    const bool accepted = service != nullptr && service->name == report.former.service &&
                          report.name != report.former.name && !report.load.leaving;
    core::log_event(core::log_level::info, "target_identified",
                    {{"target", report.name.str()},
                     {"former", report.former.name.str()},
                     {"address", core::to_string(report.former.address)},
                     {"accepted", accepted}});
    if (accepted) {
        const target_record& former = report.former;
        targets_.on_targets(
            targets_listed{
                false,
                {target_record{report.name, former.service, former.address, former.domain,
                               former.version, report.load.started_at, 0, false, former.slots}},
                {}},
            now_);
    }
}

void relay_manager::announce(bool serving)
{
    core::log_event(core::log_level::info, serving ? "instance_serving" : "instance_leaving",
                    {{"open_requests", requests_.size()}});
    host_.send(announce_member{serving});
    host_.send(directory_changed{serving, members_.members()});
    if (!serving) {
        host_.send(entry_closing{false});
    }
}

void relay_manager::on(const entry_state& report)
{
    entry_busy_ = report.busy;
}

void relay_manager::refuse_connections()
{
    entry_busy_ = true;
    host_.send(entry_closing{true});
}

bool relay_manager::has_work() const
{
    return !requests_.empty() || entry_busy_;
}

void relay_manager::fail_open_requests()
{
    for (auto it = requests_.begin(); it != requests_.end();) {
        const request_number number = it->first;
        relayed_request& open = *it->second;
        ++it;
        core::log_event(core::log_level::warning, "request_overdue_at_shutdown",
                        {{"request", open.plan().submitted.content->id}});
        open.on_shutdown(now_);
        update_or_remove(number);
    }
}

void relay_manager::end_process(bool work_cut)
{
    core::log_event(core::log_level::info, "instance_ended", {{"work_cut", work_cut}});
    host_.end_process(work_cut);
}

} // namespace cyclamen::relay
