#include <boost/test/unit_test.hpp>

#include "routing/fewest_open_chooser.hpp"
#include "routing/fleet_simulation.hpp"
#include "routing/round_robin_chooser.hpp"

using namespace cyclamen;

namespace {

constexpr double load = 0.8;
constexpr core::duration run_time = std::chrono::seconds{120};

/// Chooses the target with the lowest reported load, which makes all instances herd.
class lowest_report_chooser final : public routing::target_chooser,
                                    public routing::target_observer {
  public:
    void configure(model::configuration_ptr configuration) override
    {
        configuration_ = std::move(configuration);
    }
    absl::StatusOr<model::target> choose(const routing::placement_request& /*wanted*/,
                                         core::instant /*now*/) override
    {
        return *std::ranges::min_element(
            configuration_->targets, {},
            [this](const model::target& each) { return reported_[each.name]; });
    }
    void on_opened(const core::target_name& /*target*/, core::instant /*now*/) override {}
    void on_finished(const core::target_name& /*target*/, core::instant /*now*/) override {}
    void on_lost(const core::target_name& /*target*/, core::instant /*now*/) override {}
    void on_load(const core::target_name& target, const routing::load_report& send_reports,
                 core::instant /*now*/) override
    {
        reported_[target] = send_reports.running;
    }
    void on_cache(const core::target_name& /*target*/, const routing::cache_change& /*change*/,
                  core::instant /*now*/) override
    {
    }
    void on_leaving(const core::target_name& /*target*/, core::instant /*now*/) override {}
    void on_returned(const core::target_name& /*target*/, core::instant /*now*/) override {}

  private:
    model::configuration_ptr configuration_;
    std::map<core::target_name, std::uint32_t> reported_;
};

std::unique_ptr<routing::target_chooser> make_informed(std::uint64_t seed)
{
    return std::make_unique<routing::informed_chooser>(
        routing::chooser_settings{core::failure_domain_name{"regina"}},
        *chart::library::embedded().load("target_health", routing::target_health_vocabulary()),
        std::make_unique<routing::seeded_random>(seed));
}

test::simulation_result measure(const char* name, const test::chooser_factory& make)
{
    test::routing_simulation simulation{make};
    test::simulation_result result = simulation.run(load, run_time);
    BOOST_TEST_MESSAGE(name << ": p50 ms " << core::to_milliseconds(result.percentile(0.5))
                            << ", p95 ms " << core::to_milliseconds(result.percentile(0.95))
                            << ", worst peak over mean " << result.peak_to_mean);
    return result;
}

} // namespace

BOOST_AUTO_TEST_CASE(instances_with_delayed_reports_do_not_herd)
{
    const auto informed = measure("informed", make_informed);
    const auto round_robin = measure("round robin", [](std::uint64_t /*seed*/) {
        return std::make_unique<routing::round_robin_chooser>();
    });
    const auto fewest_open = measure("fewest open", [](std::uint64_t /*seed*/) {
        return std::make_unique<routing::fewest_open_chooser>();
    });
    const auto lowest_report = measure("lightest report", [](std::uint64_t /*seed*/) {
        return std::make_unique<lowest_report_chooser>();
    });
    BOOST_TEST(informed.peak_to_mean < round_robin.peak_to_mean);
    BOOST_TEST(informed.peak_to_mean < fewest_open.peak_to_mean);
    BOOST_TEST(informed.peak_to_mean < lowest_report.peak_to_mean);
    BOOST_TEST((informed.percentile(0.95) < round_robin.percentile(0.95)));
    BOOST_TEST((informed.percentile(0.95) < fewest_open.percentile(0.95)));
    BOOST_TEST((informed.percentile(0.95) < lowest_report.percentile(0.95)));
}
