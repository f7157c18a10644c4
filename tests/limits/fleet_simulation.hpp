#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "core/clock.hpp"
#include "limits/naive_admission.hpp"
#include "limits/share_admission.hpp"

namespace cyclamen::test {

/// Results of one account in a simulated run.
struct account_result {
    int sent = 0;
    int in_time = 0;
    int refused = 0;
    int failed = 0;
    double tokens_in_time = 0.0;
    core::duration longest_wait{};
};

/// Load offered by one account.
struct account_load {
    const std::string name;
    const double requests_per_second;
};

/// Simulates in virtual time several instances that admit requests to one service. The service runs
/// `slots` requests at full speed and slows all of them down beyond that. Peers report their demand
/// every second.
class fleet_simulation {
  public:
    static constexpr core::duration tick = std::chrono::milliseconds{10};
    static constexpr double tokens_per_second = 50.0;
    static constexpr std::uint64_t tokens_per_request = 100;
    static constexpr core::duration timeout = std::chrono::seconds{6};

    fleet_simulation(std::size_t instances, double slots, std::vector<account_load> loads,
                     bool is_naive, bool peers_report = true)
        : slots_{slots}, loads_{std::move(loads)}, peers_report_{peers_report}
    {
        std::vector<model::client_account> accounts;
        for (const account_load& each : loads_) {
            accounts.push_back({core::account_name{each.name}, each.name, {}, 1, 0});
        }
        const auto configuration = std::make_shared<const model::configuration>(
            model::configuration{core::revision{1}, {}, {}, std::move(accounts)});
        for (std::size_t i = 0; i < instances; ++i) {
            if (is_naive) {
                policies_.push_back(std::make_unique<limits::naive_admission>());
                continue;
            }
            auto admission =
                std::make_unique<limits::share_admission>(limits::admission_settings{});
            admission->configure(configuration);
            admission->on_capacity(service_, slots);
            if (peers_report_) {
                admission->on_serving_instances(static_cast<std::uint32_t>(instances));
            }
            fleet_.push_back(admission.get());
            policies_.push_back(std::move(admission));
        }
    }

    void run(core::duration time)
    {
        const core::instant end = clock_.now() + time;
        while (clock_.now() < end) {
            step();
        }
    }

    std::map<std::string, account_result> results;
    std::size_t max_open = 0;

    [[nodiscard]] double tokens_in_time() const
    {
        double sum = 0.0;
        for (const auto& [name, each] : results) {
            sum += each.tokens_in_time;
        }
        return sum;
    }

  private:
    struct simulated_request {
        std::string account;
        std::size_t instance;
        core::instant sent;
        double remaining = tokens_per_request;
        bool running = false;
    };

    const core::service_name service_{"notices"};
    const double slots_;
    const std::vector<account_load> loads_;
    const bool peers_report_;
    core::manual_clock clock_;
    std::mt19937_64 random_{20261204};
    std::vector<std::unique_ptr<limits::admission_policy>> policies_;
    std::vector<limits::share_admission*> fleet_;
    std::map<core::generation_id, simulated_request> requests_;
    core::generation_id last_id_;
    core::instant next_exchange_{};

    void step()
    {
        clock_.advance(tick);
        if (peers_report_ && clock_.now() >= next_exchange_) {
            next_exchange_ = clock_.now() + std::chrono::seconds{1};
            exchange_reports();
        }
        for (const account_load& each : loads_) {
            std::poisson_distribution<int> arrivals{each.requests_per_second *
                                                    core::to_seconds(tick)};
            for (int remaining = arrivals(random_); remaining > 0; --remaining) {
                send(each.name);
            }
        }
        release();
        advance_requests();
    }

    void exchange_reports()
    {
        std::vector<limits::demand_report> reports;
        for (std::size_t i = 0; i < fleet_.size(); ++i) {
            reports.push_back({core::instance_name{std::to_string(i)}, fleet_[i]->demand()});
        }
        for (std::size_t i = 0; i < fleet_.size(); ++i) {
            for (std::size_t j = 0; j < fleet_.size(); ++j) {
                if (i != j) {
                    fleet_[i]->on_peer_demand(reports[j], clock_.now());
                }
            }
        }
    }

    void send(const std::string& account)
    {
        last_id_ = last_id_.next();
        const std::size_t instance = random_() % policies_.size();
        account_result& result = results[account];
        ++result.sent;
        const auto refused =
            policies_[instance]->offer({last_id_, core::account_name{account}, service_,
                                        tokens_per_request, clock_.now() + timeout},
                                       clock_.now());
        if (refused.has_value()) {
            ++result.refused;
            return;
        }
        requests_.emplace(last_id_, simulated_request{account, instance, clock_.now()});
    }

    void release()
    {
        for (const auto& policy : policies_) {
            const limits::admission_result released = policy->release(clock_.now());
            for (const core::generation_id id : released.started) {
                simulated_request& started = requests_.at(id);
                started.running = true;
                core::duration& longest = results[started.account].longest_wait;
                longest = std::max(longest, clock_.now() - started.sent);
            }
            for (const limits::late_refusal& each : released.refused) {
                ++results[requests_.at(each.id).account].refused;
                requests_.erase(each.id);
            }
        }
    }

    void advance_requests()
    {
        const auto open = static_cast<std::size_t>(
            std::ranges::count_if(requests_, [](const auto& each) { return each.second.running; }));
        max_open = std::max(max_open, open);
        const double speed = std::min(1.0, slots_ / std::max(1.0, static_cast<double>(open)));
        for (auto each = requests_.begin(); each != requests_.end();) {
            simulated_request& request = each->second;
            request.remaining -=
                request.running ? speed * tokens_per_second * core::to_seconds(tick) : 0.0;
            const bool complete = request.remaining <= 0.0;
            if (!complete && clock_.now() - request.sent < timeout) {
                ++each;
                continue;
            }
            account_result& result = results[request.account];
            ++(complete ? result.in_time : result.failed);
            result.tokens_in_time += complete ? tokens_per_request : 0.0;
            policies_[request.instance]->on_ended(each->first, complete, clock_.now());
            each = requests_.erase(each);
        }
    }
};

} // namespace cyclamen::test
