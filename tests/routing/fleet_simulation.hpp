#pragma once

#include <algorithm>
#include <functional>
#include <memory>
#include <random>
#include <vector>

#include "chart/library.hpp"
#include "core/clock.hpp"
#include "routing/informed_chooser.hpp"

namespace cyclamen::test {

/// Result of one simulated run.
struct simulation_result {
    /// Times from placement to completion, sorted.
    std::vector<core::duration> times;
    /// Highest ratio of the open requests of the busiest target to the mean over all targets.
    double peak_to_mean = 0.0;

    [[nodiscard]] core::duration percentile(double part) const
    {
        return times[static_cast<std::size_t>(part * static_cast<double>(times.size() - 1))];
    }
};

using chooser_factory = std::function<std::unique_ptr<routing::target_chooser>(std::uint64_t seed)>;

/// Simulates in virtual time twenty instances that place requests on twenty targets. Two of every
/// ten targets run at half speed. Targets report their load every second, delayed by one second.
class routing_simulation {
  public:
    static constexpr std::size_t instance_count = 20;
    static constexpr std::size_t target_count = 20;
    static constexpr double batch_capacity = 16.0;
    static constexpr core::duration tick = std::chrono::milliseconds{20};
    static constexpr core::duration report_period = std::chrono::seconds{1};
    static constexpr double mean_service_seconds = 4.0;

    explicit routing_simulation(const chooser_factory& make)
    {
        std::vector<model::target> declared;
        for (std::size_t i = 0; i < target_count; ++i) {
            targets_.push_back(
                {core::target_name{"t" + std::to_string(i)}, i % 10 < 2 ? 0.5 : 1.0});
            declared.push_back(model::target{targets_[i].name,
                                             service_,
                                             version_,
                                             {"127.0.0.1", static_cast<std::uint16_t>(1 + i)},
                                             core::failure_domain_name{"regina"},
                                             {},
                                             true});
        }
        const auto configuration = std::make_shared<const model::configuration>(
            model::configuration{core::revision{1}, {}, std::move(declared), {}});
        for (std::size_t i = 0; i < instance_count; ++i) {
            choosers_.push_back(make(i));
            choosers_.back()->configure(configuration);
        }
    }

    /// @param load offered load as a fraction of the total capacity of the targets
    /// @param time simulated time
    simulation_result run(double load, core::duration time)
    {
        const double capacity = batch_capacity * (0.8 + 0.2 * 0.5) * target_count;
        const double arrivals_per_second = load * capacity / mean_service_seconds;
        while (clock_.now() < core::instant{time}) {
            clock_.advance(tick);
            send_reports();
            std::poisson_distribution<int> arrivals{arrivals_per_second * core::to_seconds(tick)};
            for (int left = arrivals(random_); left > 0; --left) {
                place_request();
            }
            advance_jobs();
        }
        std::ranges::sort(result_.times);
        return result_;
    }

  private:
    struct job {
        std::size_t instance;
        core::instant started_at;
        double left;
    };

    struct simulated_target {
        core::target_name name;
        double speed;
        std::vector<job> open_jobs;
        std::uint32_t previous_open_count = 0;
    };

    const core::service_name service_{"notices"};
    const core::version_name version_{"v1"};
    core::manual_clock clock_;
    std::mt19937_64 random_{20261204};
    std::vector<std::unique_ptr<routing::target_chooser>> choosers_;
    std::vector<simulated_target> targets_;
    core::instant next_report_{};
    simulation_result result_;

    void send_reports()
    {
        if (clock_.now() < next_report_) {
            return;
        }
        next_report_ += report_period;
        for (simulated_target& each : targets_) {
            for (const auto& chooser : choosers_) {
                if (auto* observer = dynamic_cast<routing::target_observer*>(chooser.get())) {
                    observer->on_load(each.name,
                                      {each.previous_open_count, 0,
                                       static_cast<std::uint32_t>(batch_capacity), report_period},
                                      clock_.now());
                }
            }
            each.previous_open_count = static_cast<std::uint32_t>(each.open_jobs.size());
        }
    }

    void place_request()
    {
        const std::size_t instance = random_() % instance_count;
        const auto chosen = choosers_[instance]->choose(
            routing::placement_request{service_, version_, "", {}, false}, clock_.now());
        if (!chosen.ok()) {
            return;
        }
        choosers_[instance]->on_opened(chosen->name, clock_.now());
        std::exponential_distribution<double> lengths{1.0 / mean_service_seconds};
        auto& target = *std::ranges::find(targets_, chosen->name, &simulated_target::name);
        target.open_jobs.push_back(job{instance, clock_.now(), lengths(random_)});
    }

    void advance_jobs()
    {
        double open = 0.0;
        double peak = 0.0;
        for (simulated_target& each : targets_) {
            const double count = static_cast<double>(each.open_jobs.size());
            open += count;
            peak = std::max(peak, count);
            const double step = core::to_seconds(tick) * each.speed *
                                std::min(1.0, batch_capacity / std::max(1.0, count));
            std::erase_if(each.open_jobs, [&](job& job_in_service) {
                job_in_service.left -= step;
                if (job_in_service.left > 0.0) {
                    return false;
                }
                result_.times.push_back(clock_.now() - job_in_service.started_at);
                choosers_[job_in_service.instance]->on_finished(each.name, clock_.now());
                return true;
            });
        }
        // Skips the warm-up: with few open requests the ratio is meaningless.
        if (clock_.now() > core::instant{std::chrono::seconds{20}}) {
            result_.peak_to_mean = std::max(result_.peak_to_mean, peak * target_count / open);
        }
    }
};

} // namespace cyclamen::test
