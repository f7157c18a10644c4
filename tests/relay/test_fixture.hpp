#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "chart/library.hpp"
#include "core/clock.hpp"
#include "limits/ordered_start.hpp"
#include "relay/least_work_chooser.hpp"
#include "relay/relay_manager.hpp"

namespace cyclamen::test {

using namespace std::chrono_literals;

/// A relay manager in virtual time that records the commands it sends.
class relay_fixture final : private relay::relay_host {
  public:
    explicit relay_fixture(relay::request_kind kind = relay::request_kind::streaming,
                           relay::retry_settings retries = {})
        : settings_{.name = core::instance_name{"i-1"},
                    .domain = core::failure_domain_name{"a"},
                    .entry = core::socket_address{"10.0.0.1", 80},
                    .retries = retries},
          manager_{settings_,
                   load_charts(),
                   std::make_unique<relay::least_work_chooser>(settings_.placement),
                   [] { return std::make_unique<limits::ordered_start>(); },
                   std::make_unique<relay::progress_silence_policy>(),
                   static_cast<relay::relay_host&>(*this)}
    {
        manager_.start(clock_.now());
        apply_configuration(1, kind);
        list_targets(3);
        handle(relay::members_listed{
            true,
            {relay::member_entry{
                relay::member{settings_.name, settings_.entry, settings_.domain, settings_.entry},
                {1, 1}}},
            {}});
    }

    void handle(const relay::relay_message& message)
    {
        manager_.handle(message, clock_.now());
        answer_load_queries();
    }

    /// Advances the clock in steps of one millisecond.
    void advance(core::duration time)
    {
        for (core::duration passed{}; passed < time; passed += 1ms) {
            clock_.advance(1ms);
            const auto deadline = manager_.next_deadline();
            if (deadline.has_value() && *deadline <= clock_.now()) {
                manager_.on_timer(clock_.now(), clock_.now());
                answer_load_queries();
            }
        }
    }

    /// Stalls the instance: the clock advances, and timers run before the sockets are read.
    void stall(core::duration time)
    {
        const core::instant heard_until = clock_.now();
        clock_.advance(time);
        manager_.on_timer(clock_.now(), heard_until);
        answer_load_queries();
    }

    /// Accepts a configuration with one service, one route and one account.
    void apply_configuration(std::uint64_t revision, relay::request_kind kind,
                             const std::string& key = "key-1", std::uint32_t max_runs = 3)
    {
        const core::service_name service{"engines"};
        const bool streams = kind == relay::request_kind::streaming;
        const relay::route route{.name = "r",
                                 .host = "host",
                                 .prefix = "/p/",
                                 .kind = kind,
                                 .answer_limit = 20s,
                                 .answer_goal = 4s,
                                 .pause_goal = 700ms,
                                 .rank = 1,
                                 .services = {relay::weighted_service{service, 1}},
                                 .max_runs = kind == relay::request_kind::unsafe ? 1U : max_runs,
                                 .is_public = false,
                                 .resumable = streams};
        const auto engine =
            streams ? std::optional{relay::engine_traits{64, 50000, true, true, 4s, {"m"}}}
                    : std::nullopt;
        handle(relay::configuration_read{std::make_shared<const relay::route_table>(
            core::revision{revision}, std::vector{route},
            std::vector{relay::service_traits{service, "/healthz", engine}},
            std::vector{relay::account{core::account_name{"account"}, {key}}},
            relay::caller_limits{16384, 1 << 20, 3s, 15s})});
    }

    /// Lists targets t-0, t-1, ..., assigned to the failure domains a, b and c in turn.
    void list_targets(int count, bool leaving = false)
    {
        std::vector<relay::target_record> listed;
        for (int i = 0; i < count; ++i) {
            listed.push_back(target(i, leaving));
        }
        handle(relay::targets_listed{true, std::move(listed), {}});
    }

    [[nodiscard]] static relay::target_record target(int index, bool leaving = false,
                                                     std::uint64_t born_ms = 1000)
    {
        return relay::target_record{
            core::target_name{"t-" + std::to_string(index)},
            core::service_name{"engines"},
            core::socket_address{"10.1.0." + std::to_string(index + 1), 8080},
            core::failure_domain_name{std::string(1, static_cast<char>('a' + index % 3))},
            core::version_name{"v1"},
            core::wall_time{std::chrono::milliseconds{born_ms}},
            leaving ? 2U : 1U,
            leaving};
    }

    /// Submits a request of a caller.
    void submit(std::uint64_t caller, const std::string& path = "/p/x",
                const std::string& key = "key-1")
    {
        handle(relay::submission{
            relay::caller_id{caller},
            std::make_shared<const relay::opaque_request>(relay::opaque_request{
                "id-" + std::to_string(caller), "POST", path, "host", {}, "body"}),
            25s, key, 5000, 700, "part-" + std::to_string(caller), std::nullopt});
    }

    /// Submits a request with a body of its own.
    void submit_content(std::uint64_t caller, const std::string& body)
    {
        const std::string number = std::to_string(caller);
        handle(
            relay::submission{relay::caller_id{caller},
                              std::make_shared<const relay::opaque_request>(relay::opaque_request{
                                  "id-" + number, "POST", "/p/x", "host", {}, body}),
                              25s, "key-1", 5000, 700, "part-" + number, std::nullopt});
    }

    /// Submits a request whose prompt has parts that other requests may share.
    void submit_parts(std::uint64_t caller, std::vector<std::string> shared_parts)
    {
        const std::string number = std::to_string(caller);
        handle(relay::submission{
            relay::caller_id{caller},
            std::make_shared<const relay::opaque_request>(relay::opaque_request{
                "id-" + number, "POST", "/p/x", "host", {}, "body-" + number}),
            25s, "key-1", 5000, 700, "part-" + number, std::nullopt, std::move(shared_parts)});
    }

    /// Lets the target of the last attempt crash. A new incarnation starts at once.
    /// @param begun whether the target has begun to answer
    void crash_attempt(bool begun = true)
    {
        if (begun) {
            handle(relay::stream_begun{last_attempt().attempt, relay::answer_head{200, {}}});
        }
        const std::string name = last_attempt().target.str();
        ended_targets.insert(name);
        lose_attempt();
        ended_targets.erase(name);
        handle(relay::targets_listed{
            false, {target(std::stoi(name.substr(2)), false, ++last_start_ms_)}, {}});
    }

    /// @return the attempt that was opened last
    [[nodiscard]] const relay::open_attempt& last_attempt() const
    {
        const auto* last = find_last<relay::open_attempt>(to_targets);
        BOOST_REQUIRE(last != nullptr);
        return *last;
    }

    template <class Wanted, class Command>
    [[nodiscard]] static const Wanted* find_last(const std::vector<std::unique_ptr<Command>>& sent)
    {
        for (auto each = sent.rbegin(); each != sent.rend(); ++each) {
            if (const auto* found = std::get_if<Wanted>(each->get()); found != nullptr) {
                return found;
            }
        }
        return nullptr;
    }

    template <class Wanted, class Command>
    [[nodiscard]] static std::size_t count(const std::vector<std::unique_ptr<Command>>& sent)
    {
        return static_cast<std::size_t>(
            std::count_if(sent.begin(), sent.end(),
                          [](const auto& each) { return std::holds_alternative<Wanted>(*each); }));
    }

    /// Lets the target of the last attempt send the head and an event with this id.
    void stream_to(int event)
    {
        const relay::attempt_id attempt = last_attempt().attempt;
        handle(relay::stream_begun{attempt, relay::answer_head{200, {{"seal", "s"}}}});
        handle(relay::stream_events{attempt, "id: " + std::to_string(event) + "\n\n",
                                    std::to_string(event)});
    }

    void lose_attempt(bool sent = true)
    {
        handle(relay::attempt_lost{last_attempt().attempt, sent, "lost by the test"});
    }

    [[nodiscard]] std::size_t open_requests() const { return manager_.open_requests(); }

    std::vector<std::unique_ptr<relay::entry_command>> to_entries;
    std::vector<std::unique_ptr<relay::target_command>> to_targets;
    std::vector<std::unique_ptr<relay::store_command>> to_store;
    bool ended = false;
    /// Whether connections of callers are busy while the instance leaves.
    bool entry_busy = false;
    /// Whether targets answer load queries, and those that never do.
    bool targets_answer = true;
    /// Whether the machines of targets accept connections although the targets answer nothing.
    bool targets_reachable = false;
    std::set<std::string> unresponsive_targets;
    std::map<std::string, relay::reported_load> loads;
    /// What targets report of a run; nothing if empty.
    std::function<relay::run_progress(const relay::ask_target&)> progress;
    /// Targets whose address refuses connections.
    std::set<std::string> ended_targets;

  private:
    std::size_t answered_ = 0;
    std::uint64_t last_start_ms_ = 1000;
    int entry_reports_due_ = 0;

    void answer_load_queries()
    {
        for (; entry_reports_due_ > 0; --entry_reports_due_) {
            manager_.handle(relay::entry_state{entry_busy}, clock_.now());
        }
        while ((targets_answer || targets_reachable) && answered_ < to_targets.size()) {
            const auto* checked = std::get_if<relay::check_target>(to_targets[answered_].get());
            const auto* asked = std::get_if<relay::ask_target>(to_targets[answered_].get());
            ++answered_;
            if (checked != nullptr && targets_answer) {
                const bool ended = ended_targets.contains(checked->target.name.str());
                manager_.handle(relay::target_checked{checked->target,
                                                      relay::target_contact{
                                                          ended ? relay::contact_result::refused
                                                                : relay::contact_result::answered}},
                                clock_.now());
            }
            if (asked != nullptr && targets_reachable && !asked->run.empty()) {
                manager_.handle(relay::target_reached{asked->request, asked->target}, clock_.now());
            }
            if (asked != nullptr && targets_answer &&
                !unresponsive_targets.contains(asked->target.str())) {
                const auto load = loads.find(asked->target.str());
                manager_.handle(
                    relay::target_answered{asked->request, asked->target,
                                           load == loads.end()
                                               ? relay::reported_load{0, 0, 0, 50000, {}, false}
                                               : load->second,
                                           progress ? progress(*asked) : relay::run_progress{}},
                    clock_.now());
            }
        }
    }

    const relay::relay_settings settings_;
    core::manual_clock clock_;
    relay::relay_manager manager_;

    static relay::relay_charts load_charts()
    {
        const auto charts = relay::relay_charts::load(chart::library::embedded());
        BOOST_REQUIRE(charts.ok());
        return *charts;
    }

    void send(relay::entry_command command) override
    {
        const auto* closing = std::get_if<relay::entry_closing>(&command);
        entry_reports_due_ += closing != nullptr && closing->refuses_connections ? 1 : 0;
        to_entries.push_back(std::make_unique<relay::entry_command>(std::move(command)));
    }
    void send(relay::target_command command) override
    {
        to_targets.push_back(std::make_unique<relay::target_command>(std::move(command)));
    }
    void send(relay::store_command command) override
    {
        to_store.push_back(std::make_unique<relay::store_command>(command));
    }
    void end_process(bool /*work_cut*/) override { ended = true; }
};

} // namespace cyclamen::test
