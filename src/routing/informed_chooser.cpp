#include "routing/informed_chooser.hpp"

#include <algorithm>
#include <optional>
#include <tuple>

#include "core/error.hpp"
#include "core/text.hpp"
#include "model/prefix_blocks.hpp"

namespace cyclamen::routing {

namespace {

/// Random draws per requested candidate, because some of the drawn targets can't accept work.
constexpr std::uint32_t draws_per_choice = 4;

double held_block_count(const std::vector<prefix_holder>& holders, target_number target)
{
    const auto found = std::ranges::find(holders, target, &prefix_holder::target);
    return found == holders.end() ? 0.0 : found->blocks;
}

} // namespace

informed_chooser::informed_chooser(chooser_settings settings,
                                   std::shared_ptr<const chart::chart> health_definition,
                                   std::unique_ptr<random_source> random)
    : settings_{std::move(settings)},
      health_definition_{std::move(health_definition)}, random_{std::move(random)}
{
}

void informed_chooser::configure(model::configuration_ptr configuration)
{
    by_name_.clear();
    by_number_.clear();
    for (const auto& [version, pool] : pools_) {
        pool->begin_configuration();
    }
    for (const model::target& declared : configuration->targets) {
        std::unique_ptr<target_pool>& pool = pools_[{declared.service, declared.version}];
        if (pool == nullptr) {
            pool = std::make_unique<target_pool>(settings_.health.max_ejected_fraction);
        }
        last_number_ = last_number_.next();
        target_state& state =
            pool->declare(declared, last_number_, settings_.health, health_definition_);
        by_name_.insert_or_assign(declared.name.str(), &state);
        by_number_.insert_or_assign(state.number.value(), &state);
    }
    for (const auto& [version, pool] : pools_) {
        for (const target_number removed : pool->remove_undeclared()) {
            prefixes_.remove(removed);
        }
    }
    std::erase_if(pools_, [](const auto& entry) { return entry.second->targets().empty(); });
    configuration_ = std::move(configuration);
}

absl::StatusOr<model::target> informed_chooser::choose(const placement_request& request,
                                                       core::instant now)
{
    const auto pool = pools_.find({request.service, request.version});
    if (pool != pools_.end()) {
        const std::vector<std::uint64_t> blocks = model::prefix_blocks(request.prompt);
        const std::vector<prefix_holder> holders = prefixes_.holders(blocks, now);
        target_search search{request, blocks, holders, *pool->second, now};
        compare_holders(search);
        compare_random(search);
        target_state* chosen = search.best != nullptr ? search.best : choose_fallback(search);
        if (chosen != nullptr) {
            // The target will prefill this prompt, so its blocks are going to be in that cache.
            prefixes_.on_held(chosen->number, blocks, now);
            return *chosen->declared;
        }
    }
    return core::make_error(core::error_kind::unavailable,
                            core::concat("service ", request.service.str(), " version ",
                                         request.version.str(), " has no target"),
                            "declare a target for this version or retry later");
}

void informed_chooser::compare_holders(target_search& search)
{
    for (const prefix_holder& holder : search.holders) {
        const auto found = by_number_.find(holder.target.value());
        if (found != by_number_.end() && can_accept(search, *found->second)) {
            consider(search, *found->second);
        }
    }
}

void informed_chooser::compare_random(target_search& search)
{
    const std::vector<target_state*>& targets = search.pool.targets();
    if (targets.size() <= settings_.random_choices) {
        for (target_state* target : targets) {
            if (can_accept(search, *target)) {
                consider(search, *target);
            }
        }
        return;
    }
    std::uint32_t left = settings_.random_choices;
    for (std::uint32_t draw = 0; draw < settings_.random_choices * draws_per_choice && left > 0;
         ++draw) {
        target_state& drawn = *targets[random_->below(targets.size())];
        if (can_accept(search, drawn)) {
            consider(search, drawn);
            --left;
        }
    }
}

bool informed_chooser::can_accept(const target_search& search, target_state& candidate) const
{
    if (candidate.health->current_readiness(search.now) != readiness::ready) {
        return false;
    }
    const model::target& declared = *candidate.declared;
    if (declared.service != search.request.service || declared.version != search.request.version ||
        search.request.avoided.contains(declared.name) ||
        !search.request.eligible.matches(declared.labels)) {
        return false;
    }
    // A target on its ramp after an ejection accepts only a fraction of the usual work.
    const double weight = candidate.health->weight(search.now);
    return weight >= 1.0 || random_->fraction() < weight;
}

void informed_chooser::consider(target_search& search, target_state& candidate)
{
    const double cost = cost_of(search, candidate);
    if (search.best == nullptr || cost < search.best_cost) {
        search.best = &candidate;
        search.best_cost = cost;
    }
}

target_state* informed_chooser::choose_fallback(target_search& search)
{
    target_state* best = nullptr;
    std::tuple<bool, bool, bool, double> best_rank;
    for (target_state* candidate : search.pool.targets()) {
        const readiness ready = candidate->health->current_readiness(search.now);
        if (ready == readiness::leaving ||
            !search.request.eligible.matches(candidate->declared->labels)) {
            continue;
        }
        const std::tuple rank{ready == readiness::ejected,
                              search.request.avoided.contains(candidate->declared->name),
                              ready == readiness::suspect, cost_of(search, *candidate)};
        if (best == nullptr || rank < best_rank) {
            best = candidate;
            best_rank = rank;
        }
    }
    return best;
}

double informed_chooser::cost_of(const target_search& search, target_state& candidate) const
{
    const double missing = static_cast<double>(search.blocks.size()) -
                           held_block_count(search.holders, candidate.number);
    const double block_cost =
        search.request.is_resume ? settings_.resumed_block_cost : settings_.block_cost;
    const bool is_near = candidate.declared->failure_domain == settings_.failure_domain;
    return load_cost(search, candidate) + missing * block_cost +
           (is_near ? 0.0 : settings_.domain_cost);
}

double informed_chooser::load_cost(const target_search& search, target_state& candidate) const
{
    const double load =
        candidate.load.estimate(search.pool.average_other_load(search.now), search.now);
    const double capacity = candidate.load.capacity();
    const double waiting = capacity > 0.0 ? std::max(0.0, load + 1.0 - capacity) : 0.0;
    return load + waiting * settings_.waiting_cost;
}

void informed_chooser::on_opened(const core::target_name& target, core::instant now)
{
    if (target_state* state = find_state(target)) {
        state->load.on_opened(now);
    }
}

void informed_chooser::on_finished(const core::target_name& target, core::instant now)
{
    if (target_state* state = find_state(target)) {
        state->load.on_ended();
        state->health->on_success(now);
    }
}

void informed_chooser::on_lost(const core::target_name& target, core::instant now)
{
    if (target_state* state = find_state(target)) {
        state->load.on_ended();
        state->health->on_loss(now);
        if (state->health->current_readiness(now) == readiness::ejected) {
            // A target that crashed restarts with an empty cache.
            prefixes_.forget(state->number, now);
        }
    }
}

void informed_chooser::on_load(const core::target_name& target, const load_report& report,
                               core::instant now)
{
    if (target_state* state = find_state(target)) {
        state->load.on_report(report, now);
    }
}

void informed_chooser::on_cache(const core::target_name& target, const cache_change& change,
                                core::instant now)
{
    target_state* state = find_state(target);
    if (state == nullptr) {
        return;
    }
    const core::instant at = now - change.age;
    if (change.number < state->last_change) {
        // Sequence numbers start over when an engine restarts, and its cache is empty then.
        prefixes_.forget(state->number, at);
    }
    else if (state->last_change > 0 && change.number > state->last_change + 1) {
        prefixes_.on_gap(state->number, at);
    }
    state->last_change = change.number;
    prefixes_.on_dropped(state->number, change.dropped, at);
    prefixes_.on_held(state->number, change.stored, at);
}

void informed_chooser::on_leaving(const core::target_name& target, core::instant now)
{
    if (target_state* state = find_state(target)) {
        state->health->on_leaving(now);
    }
}

void informed_chooser::on_returned(const core::target_name& target, core::instant now)
{
    if (target_state* state = find_state(target)) {
        state->health->on_returned(now);
    }
}

const target_state* informed_chooser::find(const core::target_name& target) const
{
    return find_state(target);
}

target_state* informed_chooser::find_state(const core::target_name& target) const
{
    const auto found = by_name_.find(target.str());
    return found == by_name_.end() ? nullptr : found->second;
}

} // namespace cyclamen::routing
