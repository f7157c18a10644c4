#pragma once

#include <string>
#include <vector>

#include "chart/library.hpp"
#include "generation/generation_manager.hpp"
#include "model/client_account.hpp"

namespace cyclamen::test {

/// Records the messages that a generation manager sends.
class recorded_output final : public generation::generation_output {
  public:
    void send(api::engine_command command) override
    {
        if (const auto* open = std::get_if<api::open_attempt>(&command)) {
            opened.push_back(*open);
        }
        else if (const auto* probe = std::get_if<api::probe_attempt>(&command)) {
            probed.push_back(*probe);
        }
        else {
            cancelled.push_back(std::get<api::cancel_attempt>(command));
        }
    }

    void send(api::front_command command) override
    {
        if (const auto* tokens = std::get_if<api::answer_tokens>(&command)) {
            in_order = in_order && tokens->first == delivered.size();
            delivered.insert(delivered.end(), tokens->tokens.begin(), tokens->tokens.end());
        }
        else if (std::holds_alternative<api::answer_complete>(command)) {
            ++complete;
        }
        else if (const auto* failed = std::get_if<api::answer_failed>(&command)) {
            failures.push_back(*failed);
        }
    }

    std::vector<api::open_attempt> opened;
    std::vector<api::probe_attempt> probed;
    std::vector<api::cancel_attempt> cancelled;
    std::vector<std::string> delivered;
    std::vector<api::answer_failed> failures;
    int complete = 0;
    bool in_order = true;
};

/// @return a configuration with one model `notices`, its targets and one account with bearer key
///         `key`
inline model::configuration_ptr make_configuration(int target_count = 3)
{
    std::vector<model::target> targets;
    for (int i = 0; i < target_count; ++i) {
        targets.push_back(model::target{core::target_name{"t" + std::to_string(i)},
                                        core::service_name{"notices"},
                                        core::version_name{"v1"},
                                        {"127.0.0.1", static_cast<std::uint16_t>(1 + i)},
                                        core::failure_domain_name{"regina"},
                                        {},
                                        true});
    }
    return std::make_shared<const model::configuration>(model::configuration{
        core::revision{1},
        {model::service{core::service_name{"notices"}, model::service_kind::generation,
                        core::version_name{"v1"}}},
        std::move(targets),
        {model::client_account{core::account_name{"chain"}, model::hash_key("key"), {}, 1, 0}}});
}

/// @return a streaming request of the account with bearer key `key`
inline api::generation_request make_request(std::uint64_t caller, std::uint32_t max_tokens,
                                            std::string key = {}, std::uint64_t held = 0)
{
    return api::generation_request{core::caller_id{caller},
                                   "key",
                                   core::request_key{std::move(key)},
                                   core::service_name{"notices"},
                                   "a prompt",
                                   max_tokens,
                                   true,
                                   held,
                                   std::chrono::seconds{60}};
}

/// @return the embedded chart `generation`
inline std::shared_ptr<const chart::chart> generation_chart()
{
    return *chart::library::embedded().load("generation", generation::generation_vocabulary());
}

} // namespace cyclamen::test
