#include "cli/chart_commands.hpp"

#include <functional>
#include <iostream>
#include <map>

#include "call/call_chart.hpp"
#include "chart/dot.hpp"
#include "chart/library.hpp"
#include "chart/loader.hpp"
#include "cli/command_line.hpp"
#include "cli/fail.hpp"
#include "config/configuration_write_chart.hpp"
#include "generation/checkpoint_chart.hpp"
#include "generation/generation_chart.hpp"
#include "lease/lease_chart.hpp"
#include "membership/instance_chart.hpp"
#include "rollout/rollout_chart.hpp"
#include "routing/target_health_chart.hpp"

namespace cyclamen::cli {

namespace {

/// @return the vocabulary of each chart that code binds, by chart name
const std::map<std::string, const chart::vocabulary*>& bound_charts()
{
    static const std::map<std::string, const chart::vocabulary*> bound{
        {"call", &call::call_vocabulary()},
        {"generation", &generation::generation_vocabulary()},
        {"checkpoint", &generation::checkpoint_vocabulary()},
        {"takeover", &generation::takeover_vocabulary()},
        {"target_health", &routing::target_health_vocabulary()},
        {"instance", &membership::instance_vocabulary()},
        {"configuration_write", &config::configuration_write_vocabulary()},
        {"lease", &lease::lease_vocabulary()},
        {"rollout", &rollout::rollout_vocabulary()}};
    return bound;
}

absl::StatusOr<chart::library> open_library(const std::string& folder)
{
    return folder.empty() ? chart::library::embedded() : chart::library::read(folder);
}

} // namespace

int check_charts(const std::string& folder)
{
    const auto charts = open_library(folder);
    if (!charts.ok()) {
        return fail(charts.status(), exit_usage);
    }
    int exit_status = 0;
    for (const auto& [chart_name, vocabulary] : bound_charts()) {
        const auto loaded = charts->load(chart_name, *vocabulary);
        if (loaded.ok()) {
            std::cout << chart_name << ": " << (*loaded)->states().size() << " states, valid\n";
        }
        else {
            exit_status = fail(loaded.status(), exit_usage);
        }
    }
    return exit_status;
}

int print_chart(const std::string& chart_name, const std::string& folder)
{
    const auto charts = open_library(folder);
    if (!charts.ok()) {
        return fail(charts.status(), exit_usage);
    }
    const auto bound = bound_charts().find(chart_name);
    if (bound == bound_charts().end()) {
        std::cerr << "error: unknown chart " << chart_name << "; known charts:";
        for (const auto& [bound_name, vocabulary] : bound_charts()) {
            std::cerr << " " << bound_name;
        }
        std::cerr << "\n";
        return exit_usage;
    }
    const auto loaded = charts->load(chart_name, *bound->second);
    if (!loaded.ok()) {
        return fail(loaded.status(), exit_usage);
    }
    std::cout << chart::to_dot(**loaded);
    return 0;
}

} // namespace cyclamen::cli
