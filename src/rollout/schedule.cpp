#include "rollout/schedule.hpp"

#include <algorithm>

#include "core/error.hpp"
#include "core/text.hpp"
#include "model/rollout_decoder.hpp"

namespace cyclamen::rollout {

namespace {

core::wall_time add_delay(core::wall_time start, core::duration delay)
{
    return start + std::chrono::ceil<std::chrono::milliseconds>(delay);
}

bool is_unchanged(const model::configuration* previous, const model::rollout& declared)
{
    return previous != nullptr && std::find(previous->rollouts.begin(), previous->rollouts.end(),
                                            declared) != previous->rollouts.end();
}

} // namespace

core::wall_time move_start(const schedule_settings& settings, const model::rollout& declared)
{
    return add_delay(declared.deadline, -(settings.move_time + settings.margin));
}

core::duration loading_time(const schedule_settings& settings, const model::rollout& declared,
                            std::size_t targets)
{
    const double bytes = static_cast<double>(declared.weights_bytes) * static_cast<double>(targets);
    const double rate = static_cast<double>(settings.store_bytes_per_second);
    const core::duration load =
        declared.weights_bytes == 0 ? core::duration::zero() : settings.load_time;
    return core::from_seconds(bytes / rate) + load;
}

core::wall_time earliest_end(const schedule_settings& settings, const judgement_settings& limits,
                             const model::rollout& declared, std::size_t targets,
                             core::wall_time now)
{
    // The first target already serves traffic while the others load.
    const core::duration exposure_end =
        loading_time(settings, declared, 1) + limits.min_exposure_time + 2 * window_length;
    const core::duration loading_end = loading_time(settings, declared, targets);
    return add_delay(now,
                     std::max(exposure_end, loading_end) + settings.move_time + settings.margin);
}

std::size_t selected_targets(const model::configuration& configuration,
                             const model::rollout& declared)
{
    return static_cast<std::size_t>(std::count_if(
        configuration.targets.begin(), configuration.targets.end(),
        [&](const model::target& target) {
            return target.service == declared.service && target.version == declared.to &&
                   declared.targets.matches(target.labels);
        }));
}

absl::Status check_deadlines(const schedule_settings& settings, const judgement_settings& limits,
                             const model::configuration& configuration,
                             const model::configuration* previous, core::wall_time now)
{
    std::vector<std::string> problems;
    for (const model::rollout& declared : configuration.rollouts) {
        const core::wall_time earliest = earliest_end(
            settings, limits, declared, selected_targets(configuration, declared), now);
        if (!is_unchanged(previous, declared) && declared.deadline < earliest) {
            problems.push_back(core::concat("rollout ", declared.name.str(), " can't end by ",
                                            model::to_string(declared.deadline),
                                            ", the earliest is ", model::to_string(earliest)));
        }
    }
    if (problems.empty()) {
        return absl::OkStatus();
    }
    return core::make_error(core::error_kind::unprocessable, core::join(problems, "; "),
                            "state a later deadline and apply again");
}

} // namespace cyclamen::rollout
