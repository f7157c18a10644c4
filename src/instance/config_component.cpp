#include "instance/config_component.hpp"

#include <algorithm>

#include "core/cell.hpp"
#include "core/hash.hpp"
#include "core/text.hpp"

namespace cyclamen::instance {

namespace {

/// Time limit for the status reports of the other instances.
constexpr core::duration status_timeout = std::chrono::seconds{1};

core::duration unresponsive_for(const membership::member_table& others, const api::member& member,
                                core::instant now)
{
    const auto* known = others.find(member.identity.name);
    const bool is_unresponsive = known != nullptr && member.state >= api::member_state::suspect;
    return is_unresponsive ? now - known->state_since : core::duration::zero();
}

} // namespace

config_component::config_component(config_component_settings settings,
                                   std::shared_ptr<const chart::chart> write_chart,
                                   std::unique_ptr<config::revision_codec> codec,
                                   table::table_client& table, membership_component& members,
                                   senders& out, activator activate)
    : settings_{std::move(settings)}, write_chart_{std::move(write_chart)},
      codec_{std::move(codec)}, table_{table}, members_{members}, out_{out}, activate_{std::move(
                                                                                 activate)},
      tracker_{
          {}, *codec_, *this, core::hash_of(settings_.name.str(), settings_.incarnation.value())}
{
    members_.set_knowledge_source(*this);
}

void config_component::on_start(core::instant now)
{
    if (settings_.has_table) {
        tracker_.start(now);
    }
    else {
        // Without a table, the declarations in the settings are the only configuration.
        members_.configuration_ready(now);
    }
}

void config_component::on_message(const decision_message& message, core::instant now)
{
    if (const auto* peer = std::get_if<api::peer_event>(&message)) {
        on_peer_message(std::get<api::peer_received>(*peer), now);
    }
    else if (const auto* front = std::get_if<api::front_event>(&message)) {
        if (const auto* request = std::get_if<api::operator_request>(front)) {
            on_operator_request(*request, now);
        }
    }
    after_event(now);
}

std::optional<core::instant> config_component::next_deadline() const
{
    std::optional<core::instant> next;
    if (settings_.has_table) {
        next = tracker_.next_deadline();
    }
    for (const auto& session : sessions_) {
        const auto deadline = session->next_deadline();
        if (deadline.has_value()) {
            next = std::min(next.value_or(*deadline), *deadline);
        }
    }
    for (const auto& [number, query] : status_queries_) {
        next = std::min(next.value_or(query.deadline), query.deadline);
    }
    return next;
}

void config_component::on_timer(core::instant now)
{
    if (settings_.has_table) {
        tracker_.on_timer(now);
    }
    for (std::size_t i = 0; i < sessions_.size(); ++i) {
        sessions_[i]->on_timer(now);
    }
    std::erase_if(status_queries_, [&](const auto& each) {
        const bool is_expired = each.second.deadline <= now;
        if (is_expired) {
            answer_status(each.second, now);
        }
        return is_expired;
    });
    after_event(now);
}

api::configuration_knowledge config_component::knowledge(core::instant now) const
{
    return tracker_.knowledge(now);
}

void config_component::on_peer_knowledge(const api::peer_identity& from,
                                         const api::configuration_knowledge& reported,
                                         std::optional<core::instant> not_before, core::instant now)
{
    if (settings_.has_table) {
        tracker_.on_peer_knowledge(from, reported, not_before, now);
        after_event(now);
    }
}

void config_component::paused(core::duration /*length*/, core::instant now)
{
    if (settings_.has_table) {
        tracker_.paused(now);
    }
}

void config_component::on_peer_message(const api::peer_received& received, core::instant now)
{
    if (const auto* request = std::get_if<api::status_request>(&received.message)) {
        send(received.from, api::status_report{request->sequence, knowledge(now)});
    }
    else if (const auto* report = std::get_if<api::status_report>(&received.message)) {
        const auto query = status_queries_.find(report->sequence);
        if (query != status_queries_.end()) {
            query->second.reports.emplace(received.from.name, report->configuration);
        }
    }
    else if (settings_.has_table) {
        tracker_.on_message(received, now);
    }
}

void config_component::on_operator_request(const api::operator_request& request, core::instant now)
{
    std::visit([&](const auto& each) { handle(each, now); }, request);
}

void config_component::handle(const api::configuration_apply& request, core::instant now)
{
    const auto account = authorize(request.caller, request.bearer, true);
    if (!account.has_value()) {
        return;
    }
    const api::configuration_copy checked{tracker_.knowledge(now).revision.next(),
                                          tracker_.knowledge(now).revision,
                                          account->name,
                                          {},
                                          {},
                                          request.declarations};
    const auto configuration = codec_->read_declarations(checked);
    if (!configuration.ok()) {
        answer(
            api::operator_refusal{request.caller, core::to_failure(configuration.status(), true)});
    }
    else if (request.dry_run) {
        answer(api::configuration_answer{request.caller, checked});
    }
    else {
        start_session(std::make_unique<apply_session>(request.caller, as_session_host(),
                                                      config::proposal{account->name, next_nonce(),
                                                                       request.declarations,
                                                                       request.expected},
                                                      std::nullopt),
                      now);
    }
}

void config_component::handle(const api::configuration_rollback& request, core::instant now)
{
    const auto account = authorize(request.caller, request.bearer, true);
    if (account.has_value()) {
        start_session(std::make_unique<apply_session>(
                          request.caller, as_session_host(),
                          config::proposal{account->name, next_nonce(), {}, std::nullopt},
                          request.to),
                      now);
    }
}

void config_component::handle(const api::configuration_get& request, core::instant /*now*/)
{
    if (authorize(request.caller, request.bearer, false).has_value()) {
        answer(api::configuration_answer{request.caller, tracker_.in_force()});
    }
}

void config_component::handle(const api::configuration_history& request, core::instant now)
{
    if (authorize(request.caller, request.bearer, false).has_value()) {
        start_session(std::make_unique<history_session>(request.caller, as_session_host()), now);
    }
}

void config_component::handle(const api::configuration_status& request, core::instant now)
{
    if (!authorize(request.caller, request.bearer, false).has_value()) {
        return;
    }
    const std::uint64_t number = ++last_number_;
    status_queries_.emplace(number, status_query{request.caller, now + status_timeout, {}});
    out_.peers.send(
        api::send_to_peers{members_.members().responsive_peers(), api::status_request{number}});
}

std::optional<config::operator_account>
config_component::authorize(core::caller_id caller, const std::string& bearer, bool applying)
{
    absl::Status refusal;
    const auto account = config::authorize(settings_.operators, bearer, applying);
    if (!account.ok()) {
        refusal = account.status();
    }
    else if (applying && !settings_.has_table) {
        refusal = core::make_error(core::error_kind::unavailable,
                                   "this instance runs without a table service",
                                   "set platform.table in the settings of all instances");
    }
    if (!refusal.ok()) {
        answer(api::operator_refusal{caller, core::to_failure(refusal, true)});
        return std::nullopt;
    }
    return *account;
}

void config_component::start_session(std::unique_ptr<operator_session> session, core::instant now)
{
    sessions_.push_back(std::move(session));
    sessions_.back()->start(now);
}

std::string config_component::next_nonce()
{
    return core::concat(settings_.name.str(), "/", settings_.incarnation.value(), "/",
                        ++last_number_);
}

void config_component::answer_status(const status_query& query, core::instant now)
{
    std::vector<api::member> all{members_.members().self()};
    for (const auto& [name, held] : members_.members().others().all()) {
        all.push_back(held.get().member);
    }
    std::vector<api::instance_status> instances;
    core::cell<api::configuration_position> newest{knowledge(now).position()};
    for (const api::member& member : all) {
        std::optional<api::configuration_knowledge> reported;
        const auto report = query.reports.find(member.identity.name);
        if (member.identity == members_.members().self().identity) {
            reported.emplace(knowledge(now));
        }
        else if (report != query.reports.end()) {
            reported.emplace(report->second);
        }
        if (reported.has_value()) {
            newest.set(std::max(newest.get(), reported->position()));
        }
        instances.push_back(api::instance_status{
            member, reported, unresponsive_for(members_.members().others(), member, now)});
    }
    const core::duration max_verification_age = config::tracker_settings{}.max_verification_age;
    const bool everywhere =
        std::all_of(instances.begin(), instances.end(), [&](const api::instance_status& each) {
            const auto& reported = each.configuration;
            return each.instance.state == api::member_state::gone ||
                   (reported.has_value() && reported->position() == newest.get() &&
                    reported->age.has_value() && *reported->age <= max_verification_age);
        });
    answer(
        api::status_answer{query.caller, newest.get().revision, std::move(instances), everywhere});
}

void config_component::after_event(core::instant now)
{
    std::erase_if(sessions_, [](const auto& each) { return each->is_over(); });
    if (settings_.has_table && tracker_.is_ready()) {
        members_.configuration_ready(now);
    }
}

api::table_request config_component::read(std::vector<api::row_key> rows)
{
    return table_.read(std::move(rows), *this);
}

void config_component::commit(std::vector<api::row_write> writes, core::instant now)
{
    std::ignore = table_.commit(std::move(writes), *this, now);
}

void config_component::send(const api::peer_identity& to, api::peer_message message)
{
    const auto* known = members_.members().others().find(to.name);
    if (known != nullptr) {
        out_.peers.send(api::send_to_peers{{{known->member.peers, to}}, std::move(message)});
    }
}

void config_component::send_to_random_peers(std::size_t count, api::peer_message message)
{
    out_.peers.send(api::send_to_peers{members_.members().random_peers(count), std::move(message)});
}

void config_component::put_in_force(const model::configuration_ptr& configuration,
                                    core::instant /*now*/)
{
    activate_(configuration);
}

void config_component::hold_work(bool held, core::instant /*now*/)
{
    members_.hold_work(held);
}

void config_component::on_table_answer(const api::table_event& answer, core::instant now)
{
    tracker_.on_table_event(answer, now);
    after_event(now);
}

void config_component::answer(api::operator_answer answer)
{
    out_.front.send(std::move(answer));
}

void config_component::take_over(const api::configuration_copy& accepted, core::instant now)
{
    tracker_.take_over(accepted, now);
}

} // namespace cyclamen::instance
