#include "experiment/measures.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace cyclamen::experiment {

namespace {

/// Cost of prefilling one word, relative to decoding one token.
constexpr double prefill_cost = 0.002;

double ratio(double part, double whole)
{
    return whole > 0 ? part / whole : 0;
}

std::optional<double> bound_of(const experiment_settings& settings, const std::string& name)
{
    for (const auto& [measure_name, bound] : settings.bounds) {
        if (measure_name == name) {
            return bound;
        }
    }
    return std::nullopt;
}

} // namespace

std::vector<measure> compute_measures(const run_result& result)
{
    const load::load_report& report = result.report;
    const auto gaps = report.interruptions();
    const auto first_token = report.first_token_latencies();
    const double useful = static_cast<double>(report.useful_tokens());
    const double decoded = static_cast<double>(result.work.tokens_decoded);
    const double prefilled = static_cast<double>(result.work.words_prefilled);
    const auto share = [&](load::outcome wanted) {
        return ratio(static_cast<double>(report.count(wanted)), static_cast<double>(report.size()));
    };
    return {
        {"resume_p50", core::to_milliseconds(load::quantile(gaps, 0.50)), "ms"},
        {"resume_p95", core::to_milliseconds(load::quantile(gaps, 0.95)), "ms"},
        {"resume_p99", core::to_milliseconds(load::quantile(gaps, 0.99)), "ms"},
        {"resume_max", core::to_milliseconds(load::quantile(gaps, 1.00)), "ms"},
        {"resumes", static_cast<double>(gaps.size()), "count"},
        {"first_token_p95", core::to_milliseconds(load::quantile(first_token, 0.95)), "ms"},
        {"extra_tokens", ratio(decoded - useful, useful), "per useful token"},
        {"prefill", ratio(prefilled * prefill_cost, useful), "per useful token"},
        {"answers_not_whole", 1.0 - share(load::outcome::whole), "share"},
        {"answers_wrong", static_cast<double>(report.count(load::outcome::wrong)), "count"},
        {"answers_failed", static_cast<double>(report.count(load::outcome::failed)), "count"},
        {"requests", static_cast<double>(report.size()), "count"},
        {"instance_processor_per_token",
         ratio(core::to_seconds(result.processor_time) * 1e6, std::max(useful, 1.0)), "us"},
    };
}

std::vector<std::string> to_lines(const experiment_settings& settings,
                                  const std::vector<measure>& standard,
                                  const std::vector<measure>& naive)
{
    std::vector<std::string> lines;
    for (std::size_t i = 0; i < standard.size(); ++i) {
        const auto bound = bound_of(settings, standard[i].name);
        nlohmann::ordered_json line{{"measure", standard[i].name},
                                    {"experiment", settings.name},
                                    {"deployment", settings.deployment},
                                    {"ours", standard[i].value}};
        line["naive"] = i < naive.size() ? nlohmann::ordered_json(naive[i].value) : nullptr;
        line["bound"] = bound.has_value() ? nlohmann::ordered_json(*bound) : nullptr;
        line["unit"] = standard[i].unit;
        line["seed"] = settings.load.seed;
        lines.push_back(line.dump());
    }
    return lines;
}

std::vector<std::string> exceeded_bounds(const experiment_settings& settings,
                                         const std::vector<measure>& standard)
{
    std::vector<std::string> names;
    for (const measure& each : standard) {
        const auto bound = bound_of(settings, each.name);
        if (bound.has_value() && each.value > *bound) {
            names.push_back(each.name);
        }
    }
    return names;
}

} // namespace cyclamen::experiment
