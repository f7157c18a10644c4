#include "instance/account_metrics.hpp"

namespace cyclamen::instance {

void account_metrics::configure(const model::configuration_ptr& configuration)
{
    std::map<core::account_name, std::uint32_t> classes;
    for (const model::client_account& each : configuration->accounts) {
        classes.emplace(each.name, each.priority);
    }
    if (classes != classes_) {
        classes_ = std::move(classes);
        // The class is a label of each series, so all series are looked up again.
        series_.clear();
    }
}

void account_metrics::on_opened(const generation::attempt_subject& subject, core::instant /*now*/)
{
    if (subject.is_resume) {
        series_of(subject.account, subject.service).extra_tokens.add(subject.prompt_words);
    }
}

void account_metrics::on_first_token(const generation::attempt_subject& subject,
                                     core::duration latency, core::instant /*now*/)
{
    account_series& series = series_of(subject.account, subject.service);
    (subject.is_resume ? series.resume : series.first_token).add(latency);
}

void account_metrics::on_gap(const generation::attempt_subject& subject, core::duration gap,
                             core::instant /*now*/)
{
    series_of(subject.account, subject.service).token_gap.add(gap);
}

void account_metrics::on_finished(const generation::attempt_subject& subject, std::uint64_t tokens,
                                  core::duration /*latency*/, core::instant /*now*/)
{
    series_of(subject.account, subject.service).tokens.add(tokens);
}

void account_metrics::on_lost(const generation::attempt_subject& subject,
                              const generation::attempt_loss& /*loss*/, core::instant /*now*/)
{
    series_of(subject.account, subject.service).losses.add();
}

void account_metrics::on_loss_excused(const generation::attempt_subject& /*subject*/,
                                      core::instant /*now*/)
{
}

void account_metrics::on_refused(const core::account_name& account,
                                 const core::service_name& service, core::instant /*now*/)
{
    series_of(account, service).refusals.add();
}

account_metrics::account_series& account_metrics::series_of(const core::account_name& account,
                                                            const core::service_name& service)
{
    std::map<core::service_name, account_series>& services = series_[account];
    const auto found = services.find(service);
    if (found != services.end()) {
        return found->second;
    }
    const auto priority = classes_.find(account);
    const metrics::series_labels labels{account, service,
                                        priority == classes_.end() ? 0 : priority->second};
    const auto added =
        services.emplace(service, account_series{registry_.histogram_of("first_token", labels),
                                                 registry_.histogram_of("token_gap", labels),
                                                 registry_.histogram_of("resume", labels),
                                                 registry_.counter_of("refusals", labels),
                                                 registry_.counter_of("tokens", labels),
                                                 registry_.counter_of("extra_tokens", labels),
                                                 registry_.counter_of("losses", labels)});
    return added.first->second;
}

} // namespace cyclamen::instance
