#include "instance/instance_charts.hpp"

#include "call/call_chart.hpp"
#include "config/configuration_write_chart.hpp"
#include "generation/checkpoint_chart.hpp"
#include "generation/generation_chart.hpp"
#include "membership/instance_chart.hpp"
#include "rollout/rollout_chart.hpp"
#include "routing/target_health_chart.hpp"

namespace cyclamen::instance {

namespace {

/// Loads charts and keeps the first error.
class chart_loader {
  public:
    explicit chart_loader(const chart::library& files) : files_{files} {}

    std::shared_ptr<const chart::chart> load(std::string_view name, const chart::vocabulary& words)
    {
        auto loaded = files_.load(name, words);
        if (!loaded.ok()) {
            status_.Update(loaded.status());
            return nullptr;
        }
        return *std::move(loaded);
    }

    [[nodiscard]] const absl::Status& status() const { return status_; }

  private:
    const chart::library& files_;
    absl::Status status_;
};

} // namespace

absl::StatusOr<instance_charts> load_charts(const chart::library& files)
{
    chart_loader loader{files};
    instance_charts loaded{
        loader.load("generation", generation::generation_vocabulary()),
        loader.load("checkpoint", generation::checkpoint_vocabulary()),
        loader.load("takeover", generation::takeover_vocabulary()),
        loader.load("call", call::call_vocabulary()),
        loader.load("instance", membership::instance_vocabulary()),
        loader.load("configuration_write", config::configuration_write_vocabulary()),
        loader.load("target_health", routing::target_health_vocabulary()),
        loader.load("rollout", rollout::rollout_vocabulary())};
    if (!loader.status().ok()) {
        return loader.status();
    }
    return loaded;
}

} // namespace cyclamen::instance
