#include "soak/soak.hpp"

#include <array>
#include <csignal>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <thread>

#include <nlohmann/json.hpp>

#include "core/clock.hpp"
#include "core/free_address.hpp"
#include "core/text.hpp"
#include "soak/caller_task.hpp"
#include "soak/child_process.hpp"
#include "soak/fault_proxy.hpp"
#include "soak/verdict.hpp"
#include "standin/row_store_task.hpp"
#include "standin/runner_task.hpp"
#include "task/channel.hpp"

namespace cyclamen::soak {

namespace {

using document = nlohmann::json;
using standin::row_store_fault;
using standin::runner_fault;

constexpr const char* engine_service = "engines";
constexpr const char* plain_service = "desk";
constexpr std::array<const char*, 3> domains{"a", "b", "c"};

/// Time from SIGTERM to the kill that an instance is told.
constexpr core::duration leave_limit = std::chrono::seconds{3};
/// Time in which instances have read everything before the traffic starts.
constexpr core::duration start_time = std::chrono::seconds{2};
/// Pause between the looks of the main loop.
constexpr core::duration tick = std::chrono::milliseconds{5};
/// Time between SIGKILL and the next start.
constexpr core::duration restart_pause = std::chrono::milliseconds{300};

/// Ports below those of outgoing connections; soaks that run side by side use different blocks.
constexpr std::uint64_t first_port = 10000;
constexpr std::uint64_t port_blocks = 200;
constexpr std::uint64_t ports_in_block = 100;

/// A runner with the proxy before it.
struct runner_place {
    std::unique_ptr<standin::runner_task> runner;
    std::unique_ptr<fault_proxy> proxy;
};

/// Addresses of an instance.
struct instance_addresses {
    core::socket_address entry;
    core::socket_address ready;
    core::socket_address directory;
    core::socket_address metrics;
    core::socket_address feed;
};

/// An instance with the proxy between it and the store.
struct instance_place {
    std::string name;
    std::string settings_file;
    std::string log_file;
    core::socket_address entry;
    std::unique_ptr<fault_proxy> proxy;
    std::optional<child_process> process;
    std::uint64_t number = 0;
    /// When it must have ended after SIGTERM.
    std::optional<core::instant> stop_due;
    bool paused = false;
};

document route(const std::string& prefix, const char* kind, const char* service, int attempts)
{
    const bool streams = std::string_view{kind} == "streaming";
    return document{{"name", core::concat("route", prefix)},
                    {"host", "soak.example"},
                    {"prefix", prefix},
                    {"kind", kind},
                    {"timeout_ms", streams ? 6000 : 1500},
                    {"goal_ms", streams ? 1500 : 300},
                    {"priority", 1},
                    {"backend", service},
                    {"attempts", attempts},
                    {"public", false},
                    {"resumable", streams},
                    {"gap_target_ms", streams ? 700 : 0}};
}

std::string configuration(std::uint64_t revision)
{
    document routes{route("/s/", "streaming", engine_service, 5),
                    route("/u/", "unsafe", plain_service, 1),
                    route("/r/", "safe", plain_service, 2)};
    for (std::uint64_t each = 1; each <= revision; ++each) {
        routes.push_back(route(core::concat("/since-", each, "/"), "safe", plain_service, 2));
    }
    return document{{"version", revision},
                    {"routes", routes},
                    {"backends",
                     {{{"name", engine_service},
                       {"health_path", "/healthz"},
                       {"engine",
                        {{"slots", 64},
                         {"kv_capacity_tokens", 1000000},
                         {"backups", true},
                         {"moves", false},
                         {"models", {{{"name", "m"}}}}}}},
                      {{"name", plain_service}, {"health_path", "/healthz"}}}},
                    {"limits",
                     {{"max_header_bytes", 16384},
                      {"max_body_bytes", 1000000},
                      {"header_timeout_ms", 3000},
                      {"idle_timeout_ms", 15000}}},
                    {"tenants", {{{"name", "soaker"}, {"api_keys", {"soak-key"}}}}}}
        .dump();
}

document instance_settings(const std::string& name, const char* domain,
                           const instance_addresses& at, const core::socket_address& store,
                           const std::vector<std::string>& seeds)
{
    return document{{"name", name},
                    {"failure_domain", domain},
                    {"cores", 1},
                    {"seeds", seeds},
                    {"listen",
                     {{"entry", core::to_string(at.entry)},
                      {"ready", core::to_string(at.ready)},
                      {"directory", core::to_string(at.directory)},
                      {"metrics", core::to_string(at.metrics)},
                      {"feed", core::to_string(at.feed)}}},
                    {"store", {{"address", core::to_string(store)}}},
                    {"retries", {{"ratio", 0.8}, {"slack", 300}, {"window_s", 10}}},
                    {"limits",
                     {{"leave_s", core::to_seconds(leave_limit)},
                      {"target_drain_ms", 2000},
                      {"configuration_ms", 2000},
                      {"directory_keep_s", 3}}}};
}

/// The system under soak and all that surrounds it. Owned by the thread that runs the soak.
class soaked_system {
  public:
    explicit soaked_system(const soak_settings& settings) : settings_{settings} {}

    ~soaked_system()
    {
        for (instance_place& each : instances_) {
            each.process.reset();
        }
    }
    soaked_system(const soaked_system&) = delete;
    soaked_system& operator=(const soaked_system&) = delete;

    absl::Status start()
    {
        const auto store_address = next_address();
        if (!store_address.ok()) {
            return store_address.status();
        }
        store_ = std::make_unique<standin::row_store_task>(
            standin::row_store_settings{.listen = *store_address});
        absl::Status status = store_->start();
        const std::size_t runners = settings_.engines + settings_.services;
        for (std::size_t i = 0; status.ok() && i < runners; ++i) {
            status = add_runner(i);
        }
        configure();
        std::vector<std::string> seeds;
        for (std::size_t i = 0; status.ok() && i < settings_.instances; ++i) {
            status = add_instance(i, *store_address, seeds);
        }
        if (status.ok()) {
            status = add_callers();
        }
        return status;
    }

    /// Plays the plan.
    soak_result run()
    {
        const std::vector<planned_fault> plan = plan_faults(settings_.seed, settings_.length);
        std::this_thread::sleep_for(start_time);
        const core::instant begin = clock_.now();
        tell_callers(true);
        for (const planned_fault& each : plan) {
            later(begin + each.at, [this, each] { apply(each); });
        }
        later(begin + settings_.length, [this] { tell_callers(false); });
        const core::instant end = begin + settings_.length + leave_limit + std::chrono::seconds{5};
        while (clock_.now() < end) {
            run_due();
            watch();
            std::this_thread::sleep_for(tick);
        }
        callers_->stop();
        return judge(plan);
    }

  private:
    const soak_settings settings_;
    core::system_clock clock_;
    std::shared_ptr<task::channel<standin::runner_report>> reports_ =
        std::make_shared<task::channel<standin::runner_report>>();
    std::shared_ptr<task::channel<call_record>> calls_ =
        std::make_shared<task::channel<call_record>>();
    std::unique_ptr<standin::row_store_task> store_;
    std::vector<runner_place> runners_;
    std::vector<instance_place> instances_;
    std::unique_ptr<caller_task> callers_;
    std::multimap<core::instant, std::function<void()>> due_;
    std::vector<disturbance> disturbances_;
    std::vector<std::string> violations_;
    std::uint64_t revision_ = 0;
    std::uint16_t next_port_ =
        static_cast<std::uint16_t>(first_port + settings_.seed % port_blocks * ports_in_block);

    /// Ports that the system gives to outgoing connections could be taken while a process restarts.
    absl::StatusOr<core::socket_address> next_address()
    {
        auto found = core::free_loopback_address_from(next_port_);
        if (found.ok()) {
            next_port_ = static_cast<std::uint16_t>(found->port + 1);
        }
        return found;
    }

    absl::Status add_runner(std::size_t index)
    {
        const auto listen = next_address();
        const auto listed = next_address();
        if (!listen.ok() || !listed.ok()) {
            return listen.ok() ? listed.status() : listen.status();
        }
        const bool engine = index < settings_.engines;
        runner_place made;
        made.runner = std::make_unique<standin::runner_task>(
            standin::runner_settings{.name = core::concat("runner-", index),
                                     .listen = *listen,
                                     .listed = *listed,
                                     .service = engine ? engine_service : plain_service,
                                     .domain = domains[index % domains.size()]},
            reports_, store_->inbox());
        made.proxy = std::make_unique<fault_proxy>(*listed, *listen);
        absl::Status status = made.runner->start();
        if (status.ok()) {
            status = made.proxy->start();
        }
        runners_.push_back(std::move(made));
        return status;
    }

    absl::Status add_instance(std::size_t index, const core::socket_address& store,
                              std::vector<std::string>& seeds)
    {
        std::vector<core::socket_address> free;
        for (int i = 0; i < 6; ++i) {
            const auto address = next_address();
            if (!address.ok()) {
                return address.status();
            }
            free.push_back(*address);
        }
        const std::string name = core::concat("instance-", index);
        const std::string base = core::concat(settings_.folder, "/", name);
        seeds.push_back(core::to_string(free[4]));
        std::ofstream{base + ".json"}
            << instance_settings(name, domains[index % domains.size()],
                                 instance_addresses{free[0], free[1], free[2], free[3], free[4]},
                                 free[5], seeds)
                   .dump(2);
        instance_place made{name, base + ".json", base + ".log", free[0],
                            std::make_unique<fault_proxy>(free[5], store)};
        absl::Status status = made.proxy->start();
        instances_.push_back(std::move(made));
        if (status.ok()) {
            status = start_process(instances_.back());
        }
        return status;
    }

    absl::Status add_callers()
    {
        std::vector<core::socket_address> entries;
        for (const instance_place& each : instances_) {
            entries.push_back(each.entry);
        }
        callers_ = std::make_unique<caller_task>(
            caller_settings{.seed = settings_.seed, .instances = std::move(entries)}, calls_);
        return callers_->start();
    }

    absl::Status start_process(instance_place& place)
    {
        auto started = child_process::start(
            {settings_.program, "relay", "--config", place.settings_file}, place.log_file);
        if (!started.ok()) {
            return started.status();
        }
        place.process.emplace(*std::move(started));
        ++place.number;
        return absl::OkStatus();
    }

    void restart(instance_place& place)
    {
        if (place.process.has_value() || clock_.now() == core::instant{}) {
            return;
        }
        if (const absl::Status started = start_process(place); !started.ok()) {
            violations_.push_back(std::string{started.message()});
        }
        tell_callers(sending_);
    }

    void configure()
    {
        ++revision_;
        write({standin::row_write{"op", "config", configuration(revision_), false}});
    }

    void write(std::vector<standin::row_write> rows)
    {
        post(store_->inbox(), standin::row_store_message{standin::write_rows{std::move(rows)}});
    }

    template <class Message>
    void post(const task::outbox_ptr<Message>& to, Message message)
    {
        if (const absl::Status posted = to->post(std::move(message)); !posted.ok()) {
            violations_.push_back(core::concat("the soak itself: ", posted.message()));
        }
    }

    bool sending_ = false;

    void tell_callers(bool sending)
    {
        sending_ = sending;
        std::vector<std::uint64_t> processes;
        for (const instance_place& each : instances_) {
            processes.push_back(each.number);
        }
        post(callers_->inbox(), caller_news{revision_, std::move(processes), sending});
    }

    void later(core::instant at, std::function<void()> what) { due_.emplace(at, std::move(what)); }

    void run_due()
    {
        while (!due_.empty() && due_.begin()->first <= clock_.now()) {
            const auto what = due_.extract(due_.begin());
            what.mapped()();
        }
    }

    /// No process ends by itself, and one that was told to stop ends in time.
    void watch()
    {
        for (instance_place& each : instances_) {
            if (!each.process.has_value()) {
                continue;
            }
            const auto ended = each.process->poll();
            const bool late = each.stop_due.has_value() && clock_.now() > *each.stop_due;
            if (!ended.has_value() && !late) {
                continue;
            }
            if (late && !ended.has_value()) {
                violations_.push_back(core::concat("did not stop in time: ", each.name));
            }
            else if (!each.stop_due.has_value()) {
                violations_.push_back(
                    core::concat("ended by itself: ", each.name, " status ", *ended));
            }
            each.process.reset();
            each.stop_due.reset();
            later(clock_.now() + restart_pause, [this, &each] { restart(each); });
        }
    }

    void apply(const planned_fault& fault)
    {
        instance_place& instance = instances_[fault.subject % instances_.size()];
        const core::duration ends = harm(fault, instance);
        if (ends > core::duration::zero()) {
            disturbances_.push_back(disturbance{clock_.now(), clock_.now() + ends});
        }
    }

    /// @return how long it disturbs the system
    core::duration harm(const planned_fault& fault, instance_place& instance)
    {
        const runner_place& runner = runners_[fault.subject % runners_.size()];
        const core::instant end = clock_.now() + fault.length;
        switch (fault.kind) {
        case fault_kind::instance_killed:
            if (instance.process.has_value() && !instance.stop_due.has_value()) {
                instance.process.reset();
                later(end, [this, &instance] { restart(instance); });
            }
            return fault.length;
        case fault_kind::instance_paused:
            return pause(instance, end) ? fault.length : core::duration::zero();
        case fault_kind::instance_stopped:
            if (instance.process.has_value() && !instance.stop_due.has_value() &&
                !instance.paused) {
                instance.process->send_signal(SIGTERM);
                instance.stop_due = clock_.now() + leave_limit + std::chrono::seconds{1};
            }
            return leave_limit + std::chrono::seconds{1};
        case fault_kind::instance_reloaded:
            if (instance.process.has_value()) {
                instance.process->send_signal(SIGHUP);
            }
            return core::duration::zero();
        case fault_kind::store_delayed:
        case fault_kind::store_reset:
        case fault_kind::store_cut:
        case fault_kind::store_one_way:
            set_mode(*instance.proxy, mode_of(fault.kind), end);
            return fault.length;
        case fault_kind::runner_delayed:
        case fault_kind::runner_reset:
        case fault_kind::runner_cut:
        case fault_kind::runner_one_way:
            set_mode(*runner.proxy, mode_of(fault.kind), end);
            return fault.length;
        case fault_kind::history_dropped:
            post(store_->inbox(), standin::row_store_message{standin::forget_history{}});
            return fault.length;
        case fault_kind::configured:
            configure();
            tell_callers(sending_);
            return core::duration::zero();
        case fault_kind::runner_leaving:
            // It stays longer than requests may still be sent to it.
            set_runner(runner, runner_fault::leaving, end + std::chrono::seconds{3});
            return core::duration::zero();
        default:
            break;
        }
        if (fault.kind < fault_kind::runner_killed) {
            set_store(fault, end);
        }
        else {
            set_runner(runner, runner_fault_of(fault.kind), end);
        }
        return fault.length;
    }

    bool pause(instance_place& instance, core::instant end)
    {
        if (!instance.process.has_value() || instance.stop_due.has_value() || instance.paused) {
            return false;
        }
        instance.paused = true;
        instance.process->send_signal(SIGSTOP);
        later(end, [&instance] {
            instance.paused = false;
            if (instance.process.has_value()) {
                instance.process->send_signal(SIGCONT);
            }
        });
        return true;
    }

    static proxy_mode mode_of(fault_kind kind)
    {
        switch (kind) {
        case fault_kind::store_delayed:
        case fault_kind::runner_delayed:
            return proxy_mode::delay;
        case fault_kind::store_reset:
        case fault_kind::runner_reset:
            return proxy_mode::reset;
        case fault_kind::store_cut:
        case fault_kind::runner_cut:
            return proxy_mode::cut;
        default:
            return proxy_mode::one_way;
        }
    }

    static runner_fault runner_fault_of(fault_kind kind)
    {
        const std::map<fault_kind, runner_fault> faults{
            {fault_kind::runner_killed, runner_fault::killed},
            {fault_kind::runner_dark, runner_fault::dark},
            {fault_kind::runner_shedding, runner_fault::shedding},
            {fault_kind::runner_failing, runner_fault::failing},
            {fault_kind::runner_losing, runner_fault::losing},
            {fault_kind::runner_cutting, runner_fault::cutting},
            {fault_kind::runner_mixing, runner_fault::mixing},
            {fault_kind::runner_garbling, runner_fault::garbling},
            {fault_kind::runner_ambiguous, runner_fault::ambiguous}};
        return faults.at(kind);
    }

    static row_store_fault store_fault_of(fault_kind kind)
    {
        const std::map<fault_kind, row_store_fault> faults{
            {fault_kind::store_silent, row_store_fault::silent},
            {fault_kind::store_down, row_store_fault::down},
            {fault_kind::store_busy, row_store_fault::busy},
            {fault_kind::store_losing, row_store_fault::losing},
            {fault_kind::store_slow, row_store_fault::slow}};
        return faults.at(kind);
    }

    void set_mode(fault_proxy& proxy, proxy_mode mode, core::instant end)
    {
        post(proxy.inbox(), set_proxy_mode{mode});
        later(end, [this, &proxy] { post(proxy.inbox(), set_proxy_mode{proxy_mode::pass}); });
    }

    void set_store(const planned_fault& fault, core::instant end)
    {
        const auto set = [this](row_store_fault kind) {
            post(store_->inbox(), standin::row_store_message{standin::set_row_store_fault{kind}});
        };
        set(store_fault_of(fault.kind));
        later(end, [set] { set(row_store_fault::none); });
    }

    void set_runner(const runner_place& place, runner_fault kind, core::instant end)
    {
        const auto inbox = place.runner->inbox();
        post(inbox, standin::set_runner_fault{kind});
        later(end, [this, inbox] { post(inbox, standin::set_runner_fault{runner_fault::none}); });
    }

    soak_result judge(const std::vector<planned_fault>& plan)
    {
        std::vector<call_record> calls;
        std::map<int, std::size_t> statuses;
        while (auto each = calls_->take(core::duration::zero())) {
            ++statuses[each->status];
            calls.push_back(*std::move(each));
        }
        std::vector<standin::runner_report> reports;
        while (auto each = reports_->take(core::duration::zero())) {
            reports.push_back(*std::move(each));
        }
        const std::size_t count = calls.size();
        std::vector<std::string> found = find_violations(
            evidence{std::move(calls), std::move(reports), disturbances_}, promise_settings{});
        found.insert(found.end(), violations_.begin(), violations_.end());
        return soak_result{plan, count, std::move(statuses), std::move(found)};
    }
};

} // namespace

absl::StatusOr<soak_result> run_soak(const soak_settings& settings)
{
    soaked_system system{settings};
    const absl::Status started = system.start();
    if (!started.ok()) {
        return started;
    }
    return system.run();
}

} // namespace cyclamen::soak
