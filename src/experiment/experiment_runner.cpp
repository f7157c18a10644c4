#include "experiment/experiment_runner.hpp"

#include <algorithm>

#include "load/load_runner.hpp"

namespace cyclamen::experiment {

namespace {

std::vector<load::timed_action> plan_faults(const experiment_settings& settings,
                                            experiment_system& system)
{
    std::vector<load::timed_action> actions;
    for (const planned_fault& fault : settings.faults) {
        actions.push_back({fault.at, [&system, fault] { system.inject_fault(fault); }});
        if (fault.duration > core::duration::zero()) {
            actions.push_back(
                {fault.at + fault.duration, [&system, fault] { system.clear_fault(fault); }});
        }
    }
    std::stable_sort(actions.begin(), actions.end(),
                     [](const auto& left, const auto& right) { return left.at < right.at; });
    return actions;
}

} // namespace

absl::StatusOr<run_result> run_experiment(const experiment_settings& settings,
                                          const std::string& policy,
                                          const std::function<void(std::uint64_t)>& progress)
{
    experiment_system system{settings, policy};
    const absl::Status started = system.start();
    if (!started.ok()) {
        return started;
    }
    load::load_runner runner{settings.load, system.instances(), experiment_system::version};
    auto report = runner.run(plan_faults(settings, system), progress);
    if (!report.ok()) {
        return report.status();
    }
    system.stop();
    return run_result{*std::move(report), system.work(), system.processor_time()};
}

} // namespace cyclamen::experiment
