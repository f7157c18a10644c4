#include "rollout/rollout_manager.hpp"

#include <algorithm>

namespace cyclamen::rollout {

namespace {

/// Number of past windows whose counters are sent to a peer that may lack them.
constexpr std::uint64_t gossip_windows = 30;

bool reaches_enough_peers(const fleet_status& fleet)
{
    return 2 * fleet.responsive_peers >= fleet.expected_peers;
}

bool is_empty(const api::rollout_gossip& gossip)
{
    return gossip.cells.empty() && gossip.targets.empty() && gossip.vetoes.empty();
}

} // namespace

rollout_manager::rollout_manager(api::evidence_origin origin,
                                 std::shared_ptr<const chart::chart> definition,
                                 std::unique_ptr<share_policy> policy, rollout_output& output)
    : origin_{std::move(origin)}, definition_{std::move(definition)}, policy_{std::move(policy)},
      output_{output}, recorder_{origin_}
{
}

void rollout_manager::configure(model::configuration_ptr configuration, core::wall_time now)
{
    configuration_ = std::move(configuration);
    rollout_run_host& host = *this;
    std::map<model::rollout_key, std::unique_ptr<rollout_run>> runs;
    for (const model::rollout& declared : configuration_->rollouts) {
        const model::rollout_key key = declared.key();
        rollout_run* known = find(key);
        if (known != nullptr && known->declared() == declared) {
            runs.emplace(key, std::move(runs_[key]));
            continue;
        }
        auto added = std::make_unique<rollout_run>(declared, definition_, host, now);
        const auto veto = vetoes_.find(key);
        if (veto != vetoes_.end()) {
            added->take_back(veto->second, now);
        }
        runs.emplace(key, std::move(added));
    }
    runs_ = std::move(runs);
}

std::optional<routed_request> rollout_manager::route(const core::service_name& service,
                                                     const model::label_set& labels,
                                                     std::uint64_t request,
                                                     core::wall_time now) const
{
    for (const auto& [key, run] : runs_) {
        const model::rollout& declared = run->declared();
        if (declared.service != service || !declared.traffic.matches(labels)) {
            continue;
        }
        const arm_choice choice = choose_arm(run->current(), key, request, now);
        const bool takes_new = choice.arm == api::rollout_arm::to;
        return routed_request{takes_new ? declared.to : declared.from, key, choice};
    }
    return std::nullopt;
}

std::optional<routed_request> rollout_manager::arm_of(const core::service_name& service,
                                                      const model::label_set& labels,
                                                      const core::version_name& version) const
{
    for (const auto& [key, run] : runs_) {
        const model::rollout& declared = run->declared();
        const bool is_new = declared.to == version;
        if (declared.service == service && declared.traffic.matches(labels) &&
            (is_new || declared.from == version)) {
            const auto arm = is_new ? api::rollout_arm::to : api::rollout_arm::from;
            return routed_request{version, key, {arm, api::cohort::spread}};
        }
    }
    return std::nullopt;
}

void rollout_manager::on_opened(const placed_attempt& attempt)
{
    rollout_run* run = find(attempt.rollout);
    if (run != nullptr && attempt.choice.arm == api::rollout_arm::to) {
        run->on_opened();
    }
}

void rollout_manager::on_first_token(const placed_attempt& attempt, core::duration latency)
{
    recorder_.on_first_token(attempt, latency);
}

void rollout_manager::on_end(const placed_attempt& attempt, attempt_end end, core::wall_time now)
{
    recorder_.on_end(attempt, end, now);
    rollout_run* run = find(attempt.rollout);
    if (run != nullptr && attempt.choice.arm == api::rollout_arm::to) {
        run->on_closed();
    }
}

void rollout_manager::excuse(const placed_attempt& attempt, core::wall_time lost)
{
    recorder_.excuse(attempt, lost);
}

void rollout_manager::merge(const api::rollout_gossip& gossip)
{
    for (const api::cell_count& count : gossip.cells) {
        evidence_.merge(count);
    }
    for (const api::target_count& count : gossip.targets) {
        evidence_.merge(count);
    }
}

void rollout_manager::on_gossip(const api::rollout_gossip& gossip, core::wall_time now)
{
    merge(gossip);
    std::vector<api::veto> added;
    for (const api::veto& veto : gossip.vetoes) {
        if (take_over(veto, now)) {
            added.push_back(veto);
        }
    }
    if (!added.empty()) {
        output_.publish({{}, {}, std::move(added)});
    }
}

bool rollout_manager::take_over(const api::veto& veto, core::wall_time now)
{
    if (!vetoes_.emplace(veto.rollout, veto).second) {
        return false;
    }
    rollout_run* run = find(veto.rollout);
    if (run != nullptr) {
        run->take_back(veto, now);
    }
    return true;
}

void rollout_manager::raise_veto(const model::rollout_key& rollout, const finding& fault,
                                 core::wall_time now)
{
    const api::veto raised{rollout, fault.reason, fault.evidence, origin_.instance, now};
    if (take_over(raised, now)) {
        output_.publish({{}, {}, {raised}});
    }
}

void rollout_manager::take_back(const core::rollout_name& name, std::string why,
                                core::wall_time now)
{
    for (const auto& [key, run] : runs_) {
        if (key.name == name) {
            raise_veto(key, finding{api::veto_reason::by_operator, std::move(why)}, now);
            return;
        }
    }
}

void rollout_manager::review(const fleet_status& fleet, core::wall_time now)
{
    const api::rollout_gossip changes = recorder_.take_changes();
    if (!is_empty(changes)) {
        merge(changes);
        output_.publish(changes);
    }
    for (const auto& [key, run] : runs_) {
        if (!run->is_final()) {
            review_run(*run, fleet, now);
        }
    }
}

void rollout_manager::review_run(rollout_run& run, const fleet_status& fleet, core::wall_time now)
{
    const double ready = ready_share(run.declared(), fleet);
    const assessment current = policy_->assess({run.declared(), evidence_, ready, now});
    if (run.is_active() && current.fault.has_value()) {
        raise_veto(run.declared().key(), *current.fault, now);
    }
    run.review(current, ready, reaches_enough_peers(fleet), now);
}

double rollout_manager::ready_share(const model::rollout& declared, const fleet_status& fleet) const
{
    std::size_t selected = 0;
    std::size_t ready = 0;
    for (const model::target& target : configuration_->targets) {
        if (target.service != declared.service || target.version != declared.to ||
            !declared.targets.matches(target.labels)) {
            continue;
        }
        ++selected;
        ready += fleet.not_ready.contains(target.name) ? 0 : 1;
    }
    return selected == 0 ? 0 : static_cast<double>(ready) / static_cast<double>(selected);
}

rollout_run* rollout_manager::find(const model::rollout_key& rollout)
{
    const auto found = runs_.find(rollout);
    return found == runs_.end() ? nullptr : found->second.get();
}

api::rollout_gossip rollout_manager::full_state(core::wall_time now) const
{
    const std::uint64_t current = window_at(now).value();
    const std::uint64_t oldest = current - std::min(current, gossip_windows);
    const api::rollout_gossip counters = evidence_.since(api::window_number{oldest});
    std::vector<api::veto> vetoes;
    for (const auto& [key, veto] : vetoes_) {
        vetoes.push_back(veto);
    }
    return {counters.cells, counters.targets, std::move(vetoes)};
}

std::vector<rollout_report> rollout_manager::reports() const
{
    std::vector<rollout_report> all;
    for (const auto& [key, run] : runs_) {
        all.push_back(run->report());
    }
    return all;
}

} // namespace cyclamen::rollout
