#include "routing/fewest_open_chooser.hpp"

#include <tuple>

#include "core/error.hpp"
#include "core/text.hpp"

namespace cyclamen::routing {

void fewest_open_chooser::configure(model::configuration_ptr configuration)
{
    configuration_ = std::move(configuration);
}

absl::StatusOr<model::target> fewest_open_chooser::choose(const placement_request& request,
                                                          core::instant now)
{
    const model::target* best = nullptr;
    std::tuple<bool, bool, std::uint64_t> best_rank;
    for (const model::target& candidate : configuration_->targets) {
        if (candidate.service != request.service || candidate.version != request.version) {
            continue;
        }
        const std::tuple rank{request.avoided.contains(candidate.name),
                              is_in_cooldown(candidate.name, now), open_attempts_[candidate.name]};
        if (best == nullptr || rank < best_rank) {
            best = &candidate;
            best_rank = rank;
        }
    }
    if (best == nullptr) {
        return core::make_error(core::error_kind::unavailable,
                                core::concat("service ", request.service.str(), " version ",
                                             request.version.str(), " has no target"),
                                "declare a target for this version or retry later");
    }
    return *best;
}

void fewest_open_chooser::on_opened(const core::target_name& target, core::instant /*now*/)
{
    ++open_attempts_[target];
}

void fewest_open_chooser::on_finished(const core::target_name& target, core::instant /*now*/)
{
    close(target);
}

void fewest_open_chooser::on_lost(const core::target_name& target, core::instant now)
{
    close(target);
    cooldown_until_[target] = now + loss_cooldown;
}

void fewest_open_chooser::close(const core::target_name& target)
{
    std::uint64_t& count = open_attempts_[target];
    count -= count > 0 ? 1 : 0;
}

bool fewest_open_chooser::is_in_cooldown(const core::target_name& target, core::instant now) const
{
    const auto found = cooldown_until_.find(target);
    return found != cooldown_until_.end() && now < found->second;
}

} // namespace cyclamen::routing
