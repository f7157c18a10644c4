#include "metrics/registry.hpp"

#include "core/text.hpp"

namespace cyclamen::metrics {

namespace {

constexpr std::string_view prefix = "cyclamencourse_";

/// @return the labels in Prometheus text format, without braces. Values need no escaping: the
/// pattern that names must match excludes special characters.
std::string label_text(const series_labels& labels)
{
    if (labels.account.empty()) {
        return {};
    }
    return core::concat("account=\"", labels.account.str(), "\",service=\"", labels.service.str(),
                        "\",class=\"", labels.priority_class, "\"");
}

std::string in_braces(std::string_view labels)
{
    return labels.empty() ? std::string{} : core::concat("{", labels, "}");
}

void append_type(std::string& text, std::string_view metric, std::string_view kind)
{
    core::append(text, "# TYPE ", prefix, metric, " ", kind, "\n");
}

/// Appends one sample line.
/// @param sample_prefix metric name and labels, up to the opening quote of the last label's value
/// @param last_label value of the last label
void append_sample(std::string& text, std::string_view sample_prefix, std::string_view last_label,
                   const auto& value)
{
    text += sample_prefix;
    text += last_label;
    text += "\"} ";
    core::append(text, value);
    text += '\n';
}

/// @return metric name and labels of a series, up to the opening quote of the last label's value
std::string series_prefix(std::string_view metric, std::string_view suffix,
                          const std::string& labels, std::string_view last_label)
{
    return core::concat(prefix, metric, suffix, "{", labels, labels.empty() ? "" : ",", last_label,
                        "=\"");
}

/// @return the bounds of all buckets in seconds, formatted once
const std::vector<std::string>& bound_texts()
{
    static const std::vector<std::string> texts = [] {
        std::vector<std::string> formatted;
        for (const bucket& each : histogram{}.summary().buckets) {
            formatted.push_back(core::concat(core::to_seconds(each.bound)));
        }
        return formatted;
    }();
    return texts;
}

void append_histogram(std::string& text, std::string_view metric, const std::string& labels,
                      const histogram_summary& summary)
{
    const std::string sample_prefix = series_prefix(metric, "_seconds_bucket", labels, "le");
    for (std::size_t i = 0; i < summary.buckets.size(); ++i) {
        append_sample(text, sample_prefix, bound_texts()[i], summary.buckets[i].count_below);
    }
    append_sample(text, sample_prefix, "+Inf", summary.count);
    core::append(text, prefix, metric, "_seconds_sum", in_braces(labels), " ",
                 core::to_seconds(summary.sum), "\n", prefix, metric, "_seconds_count",
                 in_braces(labels), " ", summary.count, "\n");
}

void append_quantiles(std::string& text, std::string_view metric, const std::string& labels,
                      const histogram_summary& summary)
{
    const std::string sample_prefix =
        series_prefix(metric, "_quantile_seconds", labels, "quantile");
    append_sample(text, sample_prefix, "0.5", core::to_seconds(summary.median));
    append_sample(text, sample_prefix, "0.95", core::to_seconds(summary.p95));
    append_sample(text, sample_prefix, "0.99", core::to_seconds(summary.p99));
    append_sample(text, sample_prefix, "1", core::to_seconds(summary.max));
}

} // namespace

template <class Series>
Series& registry::find_or_add(std::map<std::string, family<Series>, std::less<>>& families,
                              std::string_view metric, const series_labels& labels,
                              Series& overflow)
{
    auto family_entry = families.find(metric);
    if (family_entry == families.end()) {
        family_entry = families.emplace(std::string{metric}, family<Series>{}).first;
    }
    const auto found = family_entry->second.find(labels);
    if (found != family_entry->second.end()) {
        return *found->second;
    }
    if (series_count_ >= max_series_) {
        omitted_series_.add();
        return overflow;
    }
    ++series_count_;
    return *family_entry->second.emplace(labels, std::make_unique<Series>()).first->second;
}

counter& registry::counter_of(std::string_view metric, const series_labels& labels)
{
    return find_or_add(counters_, metric, labels, overflow_counter_);
}

histogram& registry::histogram_of(std::string_view metric, const series_labels& labels)
{
    return find_or_add(histograms_, metric, labels, overflow_histogram_);
}

void registry::set_gauge(std::string_view metric, double value)
{
    gauges_.insert_or_assign(std::string{metric}, value);
}

std::string registry::text() const
{
    std::string text;
    for (const auto& [metric, value] : gauges_) {
        append_type(text, metric, "gauge");
        core::append(text, prefix, metric, " ", value, "\n");
    }
    append_type(text, "metric_series_left_out_total", "counter");
    core::append(text, prefix, "metric_series_left_out_total ", omitted_series_.value(), "\n");
    for (const auto& [metric, family] : counters_) {
        append_type(text, core::concat(metric, "_total"), "counter");
        for (const auto& [labels, counted] : family) {
            core::append(text, prefix, metric, "_total", in_braces(label_text(labels)), " ",
                         counted->value(), "\n");
        }
    }
    for (const auto& [metric, family] : histograms_) {
        append_type(text, core::concat(metric, "_seconds"), "histogram");
        std::string quantiles;
        for (const auto& [labels, measured] : family) {
            const histogram_summary summary = measured->summary();
            if (summary.count > 0) {
                const std::string label = label_text(labels);
                append_histogram(text, metric, label, summary);
                append_quantiles(quantiles, metric, label, summary);
            }
        }
        append_type(text, core::concat(metric, "_quantile_seconds"), "gauge");
        text += quantiles;
    }
    return text;
}

} // namespace cyclamen::metrics
