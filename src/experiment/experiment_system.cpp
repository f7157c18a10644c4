#include "experiment/experiment_system.hpp"

#include "core/free_address.hpp"
#include "core/text.hpp"
#include "model/client_account.hpp"
#include "settings/instance_settings.hpp"

namespace cyclamen::experiment {

namespace {

using document = nlohmann::json;

/// How many of the first instances the later ones use as membership seeds.
constexpr std::size_t max_seeds = 3;

std::vector<std::string> first_seeds(const std::vector<std::string>& addresses)
{
    const std::size_t count = std::min(addresses.size(), max_seeds);
    return {addresses.begin(), addresses.begin() + static_cast<std::ptrdiff_t>(count)};
}

} // namespace

experiment_system::experiment_system(const experiment_settings& settings, std::string policy)
    : settings_{settings}, policy_{std::move(policy)}
{
}

experiment_system::~experiment_system()
{
    stop();
}

absl::Status experiment_system::start()
{
    const auto targets = start_engines();
    if (!targets.ok()) {
        return targets.status();
    }
    for (std::size_t index = 0; index < settings_.instances; ++index) {
        const auto address = core::find_free_loopback_address();
        if (!address.ok()) {
            return address.status();
        }
        const auto peer_address = core::find_free_loopback_address();
        if (!peer_address.ok()) {
            return peer_address.status();
        }
        addresses_.push_back(*address);
        peer_addresses_.push_back(core::to_string(*peer_address));
        instance_settings_.push_back(
            {{"name", core::concat("instance-", index)},
             {"peers",
              {{"listen", peer_addresses_.back()}, {"seeds", first_seeds(peer_addresses_)}}},
             {"failure_domain",
              settings_.failure_domains[index % settings_.failure_domains.size()]},
             {"listen", core::to_string(*address)},
             {"log_level", "error"},
             {"policy", policy_},
             {"declarations", declarations(*targets)}});
        instances_.emplace_back();
        const absl::Status started = start_instance(index);
        if (!started.ok()) {
            return started;
        }
    }
    return absl::OkStatus();
}

absl::StatusOr<nlohmann::json> experiment_system::start_engines()
{
    document targets = document::array();
    for (std::size_t index = 0; index < settings_.engines; ++index) {
        const auto address = core::find_free_loopback_address();
        if (!address.ok()) {
            return address.status();
        }
        engines_.push_back(std::make_unique<standin::engine_task>(
            standin::engine_settings{.listen = *address,
                                     .version = version,
                                     .token_gap = settings_.token_gap,
                                     .gap_per_stream = settings_.gap_per_stream,
                                     .variant_seed = static_cast<std::uint32_t>(index),
                                     .link_delay = settings_.link_delay}));
        const absl::Status started = engines_.back()->start();
        if (!started.ok()) {
            return started;
        }
        targets.push_back({{"name", core::concat("engine-", index)},
                           {"service", settings_.load.model},
                           {"version", version},
                           {"address", core::to_string(*address)},
                           {"failure_domain",
                            settings_.failure_domains[index % settings_.failure_domains.size()]}});
    }
    return targets;
}

nlohmann::json experiment_system::declarations(const nlohmann::json& targets) const
{
    document accounts = document::array();
    for (const load::load_account& each : settings_.load.accounts) {
        accounts.push_back({{"name", each.key}, {"key_hash", model::hash_key(each.key)}});
    }
    const document service{
        {"name", settings_.load.model}, {"kind", "generation"}, {"version", version}};
    return {{"services", document::array({service})}, {"targets", targets}, {"accounts", accounts}};
}

absl::Status experiment_system::start_instance(std::size_t index)
{
    const auto decoded =
        settings::decode_instance_settings(instance_settings_[index], "experiment");
    if (!decoded.ok()) {
        return decoded.status();
    }
    auto started = instance::instance::start(*decoded, chart::library::embedded());
    if (!started.ok()) {
        return started.status();
    }
    instances_[index] = *std::move(started);
    return absl::OkStatus();
}

void experiment_system::stop()
{
    for (const auto& each : instances_) {
        if (each != nullptr) {
            each->stop();
        }
    }
    for (const auto& each : engines_) {
        each->stop();
    }
}

void experiment_system::inject_fault(const planned_fault& fault)
{
    if (fault.place == fault_place::engine) {
        const absl::Status posted =
            engines_.at(fault.index)->inbox()->post(standin::set_fault{fault.kind, fault.factor});
        static_cast<void>(posted);
    }
    else {
        instances_.at(fault.index)->stop();
        stopped_processor_time_ += instances_.at(fault.index)->processor_time();
        instances_.at(fault.index).reset();
    }
}

void experiment_system::clear_fault(const planned_fault& fault)
{
    if (fault.place == fault_place::engine) {
        const absl::Status posted =
            engines_.at(fault.index)->inbox()->post(standin::set_fault{standin::fault_kind::none});
        static_cast<void>(posted);
    }
    else {
        const absl::Status started = start_instance(fault.index);
        if (!started.ok()) {
            core::log_event(core::log_level::error, "instance_not_back",
                            {{"error", started.message()}});
        }
    }
}

core::duration experiment_system::processor_time() const
{
    core::duration used = stopped_processor_time_;
    for (const auto& each : instances_) {
        used += each != nullptr ? each->processor_time() : core::duration::zero();
    }
    return used;
}

engine_work experiment_system::work() const
{
    std::uint64_t tokens = 0;
    std::uint64_t words = 0;
    for (const auto& each : engines_) {
        tokens += each->model().tokens_decoded();
        words += each->model().words_prefilled();
    }
    return engine_work{tokens, words};
}

} // namespace cyclamen::experiment
