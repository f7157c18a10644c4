#include "routing/round_robin_chooser.hpp"

#include <vector>

#include "core/error.hpp"

namespace cyclamen::routing {

void round_robin_chooser::configure(model::configuration_ptr configuration)
{
    configuration_ = std::move(configuration);
}

absl::StatusOr<model::target> round_robin_chooser::choose(const placement_request& request,
                                                          core::instant /*now*/)
{
    std::vector<const model::target*> candidates;
    for (const model::target& candidate : configuration_->targets) {
        if (candidate.service == request.service && candidate.version == request.version &&
            request.eligible.matches(candidate.labels)) {
            candidates.push_back(&candidate);
        }
    }
    if (candidates.empty()) {
        return core::make_error(core::error_kind::unavailable, "the version has no target",
                                "declare a target for this version or retry later");
    }
    const std::size_t turn = next_index_[{request.service, request.version}]++;
    return *candidates[turn % candidates.size()];
}

} // namespace cyclamen::routing
