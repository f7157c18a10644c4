#pragma once

#include <memory>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "instance/instance.hpp"
#include "load/caller_task.hpp"
#include "model/client_account.hpp"
#include "settings/instance_settings.hpp"
#include "standin/engine_task.hpp"
#include "standin/token_chain.hpp"
#include "support/ports.hpp"
#include "task/channel.hpp"

namespace cyclamen::test {

/// One instance in front of stand-in engines, with a caller task, all on loopback.
class instance_fixture {
  public:
    /// @param engine_count number of engines of version v1
    /// @param new_engine_count number of engines of version v2. If there are any, a rollout from v1
    /// to v2 is declared.
    explicit instance_fixture(int engine_count, int new_engine_count = 0)
    {
        nlohmann::json targets = nlohmann::json::array();
        for (int i = 0; i < engine_count + new_engine_count; ++i) {
            const core::socket_address address = free_address();
            const std::string version = i < engine_count ? "v1" : "v2";
            engines.push_back(std::make_unique<standin::engine_task>(
                standin::engine_settings{address, version, std::chrono::milliseconds{2}}));
            BOOST_REQUIRE(engines.back()->start().ok());
            targets.push_back({{"name", "t" + std::to_string(i)},
                               {"service", "notices"},
                               {"version", version},
                               {"address", core::to_string(address)},
                               {"failure_domain", "regina"}});
        }
        nlohmann::json declarations{
            {"services", {{{"name", "notices"}, {"kind", "generation"}, {"version", "v1"}}}},
            {"targets", targets},
            {"accounts", {{{"name", "chain"}, {"key_hash", model::hash_key("key")}}}}};
        if (new_engine_count > 0) {
            declarations["rollouts"] = {{{"name", "move"},
                                         {"service", "notices"},
                                         {"from", "v1"},
                                         {"to", "v2"},
                                         {"exposure_permille", 200},
                                         {"deadline", "2100-01-01T00:00:00Z"}}};
        }
        const auto decoded =
            settings::decode_instance_settings({{"name", "i"},
                                                {"failure_domain", "regina"},
                                                {"listen", core::to_string(address)},
                                                {"log_level", "warning"},
                                                {"most_body_bytes", 4096},
                                                {"declarations", declarations}},
                                               "test");
        BOOST_REQUIRE_MESSAGE(decoded.ok(), std::string{decoded.status().message()});
        core::set_log_level(decoded->log_level);
        auto started = instance::instance::start(*decoded, chart::library::embedded());
        BOOST_REQUIRE_MESSAGE(started.ok(), std::string{started.status().message()});
        entry = *std::move(started);
        BOOST_REQUIRE(callers.start().ok());
    }

    ~instance_fixture()
    {
        callers.stop();
        entry->stop();
        for (const auto& engine : engines) {
            engine->stop();
        }
    }
    instance_fixture(const instance_fixture&) = delete;
    instance_fixture& operator=(const instance_fixture&) = delete;

    void send(std::uint64_t number, std::uint64_t max_tokens, bool streaming,
              const std::string& bearer = "key", const std::string& model = "notices",
              const std::string& prompt = "a prompt")
    {
        BOOST_REQUIRE(
            callers.inbox()
                ->post(load::send_generation{load::request_number{number}, address, bearer, "",
                                             model, prompt, max_tokens, streaming})
                .ok());
    }

    load::generation_result next_result()
    {
        const auto result = results->take(std::chrono::seconds{20});
        BOOST_REQUIRE(result.has_value());
        return *result;
    }

    void fault(std::size_t engine, standin::fault_kind kind)
    {
        BOOST_REQUIRE(engines.at(engine)->inbox()->post(standin::set_fault{kind}).ok());
    }

    core::socket_address address = free_address();
    std::vector<std::unique_ptr<standin::engine_task>> engines;
    std::unique_ptr<instance::instance> entry;
    std::shared_ptr<task::channel<load::generation_result>> results =
        std::make_shared<task::channel<load::generation_result>>();
    load::caller_task callers{results};
};

/// Checks that an answer is complete and was produced by version v1.
inline void check_whole(const load::generation_result& result, std::uint64_t tokens,
                        std::string_view prompt = "a prompt")
{
    BOOST_TEST(result.complete, result.error);
    BOOST_TEST(standin::check_answer(prompt, "v1", result.text).is_complete(tokens));
}

} // namespace cyclamen::test
