#pragma once

#include <map>

#include "generation/outcome_listener.hpp"
#include "metrics/registry.hpp"
#include "model/configuration.hpp"

namespace cyclamen::instance {

/// Records the service quality of each client account at each service: time to the first token, gap
/// between tokens, time to resume, refusals, losses and extra tokens, which are the prompt words
/// that resumed attempts prefill again. Used on the decision task.
class account_metrics final : public generation::outcome_listener {
  public:
    /// @param registry holds the series; must outlive this object
    explicit account_metrics(metrics::registry& registry) : registry_{registry} {}

    /// Applies the priority classes of a configuration.
    void configure(const model::configuration_ptr& configuration);

    void on_opened(const generation::attempt_subject& subject, core::instant now) override;
    void on_first_token(const generation::attempt_subject& subject, core::duration latency,
                        core::instant now) override;
    void on_gap(const generation::attempt_subject& subject, core::duration gap,
                core::instant now) override;
    void on_finished(const generation::attempt_subject& subject, std::uint64_t tokens,
                     core::duration latency, core::instant now) override;
    void on_lost(const generation::attempt_subject& subject, const generation::attempt_loss& loss,
                 core::instant now) override;
    void on_loss_excused(const generation::attempt_subject& subject, core::instant now) override;

    void on_refused(const core::account_name& account, const core::service_name& service,
                    core::instant now) override;

  private:
    /// References to the series of one account, service and class, so that they are not looked up
    /// in the registry for each event.
    struct account_series {
        metrics::histogram& first_token;
        metrics::histogram& token_gap;
        metrics::histogram& resume;
        metrics::counter& refusals;
        metrics::counter& tokens;
        metrics::counter& extra_tokens;
        metrics::counter& losses;
    };

    metrics::registry& registry_;
    std::map<core::account_name, std::uint32_t> classes_;
    std::map<core::account_name, std::map<core::service_name, account_series>> series_;

    account_series& series_of(const core::account_name& account, const core::service_name& service);
};

} // namespace cyclamen::instance
