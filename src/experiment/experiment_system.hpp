#pragma once

#include <memory>
#include <string>
#include <vector>

#include <absl/status/status.h>

#include "experiment/experiment_settings.hpp"
#include "instance/instance.hpp"

namespace cyclamen::experiment {

/// Amount of work that the engines of a system have done.
struct engine_work {
    const std::uint64_t tokens_decoded;
    const std::uint64_t words_prefilled;

    auto operator<=>(const engine_work&) const = default;
};

/// The stand-in engines and the instances of one experiment, run as tasks of this process on
/// loopback. Used by one thread.
class experiment_system {
  public:
    /// @param settings the experiment; must outlive this object
    /// @param policy policy of the instances: `standard` or `naive`
    experiment_system(const experiment_settings& settings, std::string policy);
    ~experiment_system();
    experiment_system(const experiment_system&) = delete;
    experiment_system& operator=(const experiment_system&) = delete;

    /// Starts all engines and instances.
    /// @return OK, or the first error
    [[nodiscard]] absl::Status start();

    /// Stops all engines and instances.
    void stop();

    /// Starts a fault: sets it at the engine, or stops the instance.
    void inject_fault(const planned_fault& fault);

    /// Ends a fault: clears it at the engine, or starts the instance again.
    void clear_fault(const planned_fault& fault);

    /// @return addresses of the instances
    [[nodiscard]] const std::vector<core::socket_address>& instances() const { return addresses_; }

    /// @return work done by all engines; call after stop()
    [[nodiscard]] engine_work work() const;

    /// @return processor time used by all instances, including stopped ones; call after stop()
    [[nodiscard]] core::duration processor_time() const;

    /// Version that the engines serve.
    static constexpr const char* version = "v1";

  private:
    const experiment_settings& settings_;
    const std::string policy_;
    std::vector<std::unique_ptr<standin::engine_task>> engines_;
    std::vector<std::unique_ptr<instance::instance>> instances_;
    std::vector<core::socket_address> addresses_;
    std::vector<std::string> peer_addresses_;
    std::vector<nlohmann::json> instance_settings_;
    core::duration stopped_processor_time_{};

    [[nodiscard]] absl::StatusOr<nlohmann::json> start_engines();
    [[nodiscard]] absl::Status start_instance(std::size_t index);
    [[nodiscard]] nlohmann::json declarations(const nlohmann::json& targets) const;
};

} // namespace cyclamen::experiment
