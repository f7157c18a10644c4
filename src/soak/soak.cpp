#include "soak/soak.hpp"

#include <array>
#include <csignal>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "core/free_address.hpp"
#include "core/text.hpp"
#include "soak/caller_task.hpp"
#include "soak/child_process.hpp"
#include "soak/fault_effects.hpp"
#include "soak/fault_proxy.hpp"
#include "soak/soak_documents.hpp"
#include "soak/verdict.hpp"
#include "standin/row_store_task.hpp"
#include "standin/runner_task.hpp"
#include "task/channel.hpp"
#include "task/event_loop.hpp"

namespace cyclamen::soak {

namespace {

using standin::row_store_fault;
using standin::runner_fault;

constexpr std::array<const char*, 3> failure_domains{"a", "b", "c"};

/// Time for the instances to read the store before the traffic starts.
constexpr core::duration startup_time = std::chrono::seconds{2};
/// Time after the traffic for requests to end, in addition to the shutdown limit of instances.
constexpr core::duration wind_down_time = std::chrono::seconds{5};
/// Fraction of deadly requests in a soak with crashes.
constexpr double deadly_fraction = 0.03;
/// Interval between two checks of the processes.
constexpr core::duration poll_interval = std::chrono::milliseconds{5};
/// Time between the end of a process and the start of the next one.
constexpr core::duration restart_pause = std::chrono::milliseconds{300};

/// A runner and the proxy in front of it.
struct proxied_runner {
    std::unique_ptr<standin::runner_task> runner;
    std::unique_ptr<fault_proxy> proxy;
};

/// An instance and the proxy between it and the store.
struct proxied_instance {
    std::string name;
    std::string settings_file;
    std::string log_file;
    core::socket_address entry;
    std::unique_ptr<fault_proxy> proxy;
    std::optional<child_process> process;
    std::uint64_t process_number = 0;
    /// Set after SIGTERM: when the process must have ended.
    std::optional<core::instant> stop_deadline;
    bool paused = false;
};

/// The instances under test, the stand-ins, the proxies and the callers. Owned by the thread that
/// runs the soak test.
class system_under_test {
  public:
    explicit system_under_test(const soak_settings& settings) : settings_{settings} {}

    ~system_under_test()
    {
        for (proxied_instance& instance : instances_) {
            instance.process.reset();
        }
    }
    system_under_test(const system_under_test&) = delete;
    system_under_test& operator=(const system_under_test&) = delete;

    absl::Status start()
    {
        const auto store_address = core::find_free_loopback_address();
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

    /// Runs the fault plan under traffic.
    soak_result run()
    {
        const std::vector<planned_fault> plan =
            settings_.silences ? plan_silences(settings_.seed, settings_.length)
                               : plan_faults(settings_.seed, settings_.length);
        loop_.open();
        const core::instant begin = loop_.now() + startup_time;
        schedule(begin, [this] { update_callers(true); });
        for (const planned_fault& fault : plan) {
            schedule(begin + fault.at, [this, fault] { start_fault(fault); });
        }
        schedule(begin + settings_.length, [this] { update_callers(false); });
        loop_.run_every(poll_interval, [this] { check_processes(); });
        const core::instant end = begin + settings_.length + shutdown_limit + wind_down_time;
        while (loop_.now() < end) {
            loop_.run_once(poll_interval);
        }
        loop_.close();
        callers_->stop();
        return evaluate(plan);
    }

  private:
    const soak_settings settings_;
    /// Its timers execute the fault plan.
    task::event_loop loop_;
    std::shared_ptr<task::channel<standin::runner_report>> reports_ =
        std::make_shared<task::channel<standin::runner_report>>();
    std::shared_ptr<task::channel<call_record>> calls_ =
        std::make_shared<task::channel<call_record>>();
    std::unique_ptr<standin::row_store_task> store_;
    std::vector<proxied_runner> runners_;
    std::vector<proxied_instance> instances_;
    std::unique_ptr<caller_task> callers_;
    std::vector<disturbance> disturbances_;
    std::vector<runner_pause> pauses_;
    std::vector<std::string> violations_;
    std::uint64_t revision_ = 0;
    bool sending_allowed_ = false;

    absl::Status add_runner(std::size_t index)
    {
        const auto listen = core::find_free_loopback_address();
        const auto listed = core::find_free_loopback_address();
        if (!listen.ok() || !listed.ok()) {
            return listen.ok() ? listed.status() : listen.status();
        }
        const bool is_engine = index < settings_.engines;
        proxied_runner added;
        added.runner = std::make_unique<standin::runner_task>(
            standin::runner_settings{.name = core::concat("runner-", index),
                                     .listen = *listen,
                                     .listed_address = settings_.crashes ? *listen : *listed,
                                     .service = is_engine ? engine_service : plain_service,
                                     .failure_domain =
                                         failure_domains[index % failure_domains.size()],
                                     .deadly_part = settings_.crashes ? deadly_part : "",
                                     .deadly_body = settings_.crashes ? deadly_body : ""},
            reports_, store_->inbox());
        added.proxy = std::make_unique<fault_proxy>(*listed, *listen);
        absl::Status status = added.runner->start();
        if (status.ok()) {
            status = added.proxy->start();
        }
        runners_.push_back(std::move(added));
        return status;
    }

    absl::Status add_instance(std::size_t index, const core::socket_address& store,
                              std::vector<std::string>& seeds)
    {
        std::vector<core::socket_address> addresses;
        for (int i = 0; i < 6; ++i) {
            const auto address = core::find_free_loopback_address();
            if (!address.ok()) {
                return address.status();
            }
            addresses.push_back(*address);
        }
        const std::string name = core::concat("instance-", index);
        const std::string file_base = core::concat(settings_.folder, "/", name);
        seeds.push_back(core::to_string(addresses[4]));
        std::ofstream{file_base + ".json"}
            << settings_text(name, failure_domains[index % failure_domains.size()],
                             instance_addresses{addresses[0], addresses[1], addresses[2],
                                                addresses[3], addresses[4]},
                             addresses[5], seeds);
        proxied_instance added{name, file_base + ".json", file_base + ".log", addresses[0],
                               std::make_unique<fault_proxy>(addresses[5], store)};
        absl::Status status = added.proxy->start();
        instances_.push_back(std::move(added));
        if (status.ok()) {
            status = start_process(instances_.back());
        }
        return status;
    }

    absl::Status add_callers()
    {
        std::vector<core::socket_address> entries;
        for (const proxied_instance& instance : instances_) {
            entries.push_back(instance.entry);
        }
        callers_ = std::make_unique<caller_task>(
            caller_settings{.seed = settings_.seed,
                            .instances = std::move(entries),
                            .deadly_fraction = settings_.crashes ? deadly_fraction : 0.0},
            calls_);
        return callers_->start();
    }

    absl::Status start_process(proxied_instance& instance)
    {
        auto started = child_process::start(
            {settings_.program, "relay", "--config", instance.settings_file}, instance.log_file);
        if (!started.ok()) {
            return started.status();
        }
        instance.process.emplace(*std::move(started));
        ++instance.process_number;
        return absl::OkStatus();
    }

    void restart(proxied_instance& instance)
    {
        if (instance.process.has_value()) {
            return;
        }
        if (const absl::Status started = start_process(instance); !started.ok()) {
            violations_.push_back(std::string{started.message()});
        }
        update_callers(sending_allowed_);
    }

    void configure()
    {
        ++revision_;
        post_message(store_->inbox(),
                     standin::row_store_message{standin::write_rows{{standin::row_write{
                         "op", "config", configuration_text(revision_), false}}}});
    }

    template <class Message>
    void post_message(const task::outbox_ptr<Message>& to, Message message)
    {
        if (const absl::Status posted = to->post(std::move(message)); !posted.ok()) {
            violations_.push_back(
                core::concat("soak test failed to post a message: ", posted.message()));
        }
    }

    void update_callers(bool sending_allowed)
    {
        sending_allowed_ = sending_allowed;
        std::vector<std::uint64_t> processes;
        for (const proxied_instance& instance : instances_) {
            processes.push_back(instance.process_number);
        }
        post_message(callers_->inbox(),
                     caller_update{revision_, std::move(processes), sending_allowed});
    }

    void schedule(core::instant at, std::function<void()> action)
    {
        loop_.run_at(at, std::move(action));
    }

    /// Checks that no process ends unexpectedly and that a process ends in time after SIGTERM.
    void check_processes()
    {
        for (proxied_instance& instance : instances_) {
            if (!instance.process.has_value()) {
                continue;
            }
            const auto ended = instance.process->poll();
            const bool is_overdue =
                instance.stop_deadline.has_value() && loop_.now() > *instance.stop_deadline;
            if (!ended.has_value() && !is_overdue) {
                continue;
            }
            if (is_overdue && !ended.has_value()) {
                violations_.push_back(core::concat("did not stop in time: ", instance.name));
            }
            else if (!instance.stop_deadline.has_value()) {
                violations_.push_back(
                    core::concat("ended unexpectedly: ", instance.name, " wait status ", *ended));
            }
            instance.process.reset();
            instance.stop_deadline.reset();
            schedule(loop_.now() + restart_pause, [this, &instance] { restart(instance); });
        }
    }

    void start_fault(const planned_fault& fault)
    {
        proxied_instance& instance = instances_[fault.subject % instances_.size()];
        const core::duration disturbed_for = inject_fault(fault, instance);
        if (disturbed_for > core::duration::zero()) {
            disturbances_.push_back(disturbance{loop_.now(), loop_.now() + disturbed_for});
        }
    }

    /// @return how long the fault disturbs the system
    core::duration inject_fault(const planned_fault& fault, proxied_instance& instance)
    {
        const proxied_runner& runner = runners_[fault.subject % runners_.size()];
        const core::instant end = loop_.now() + fault.length;
        switch (fault.kind) {
        case fault_kind::instance_killed:
            if (instance.process.has_value() && !instance.stop_deadline.has_value()) {
                instance.process.reset();
                schedule(end, [this, &instance] { restart(instance); });
            }
            return fault.length;
        case fault_kind::instance_paused:
            return pause_until(instance, end) ? fault.length : core::duration::zero();
        case fault_kind::instance_stopped:
            if (instance.process.has_value() && !instance.stop_deadline.has_value() &&
                !instance.paused) {
                instance.process->send_signal(SIGTERM);
                instance.stop_deadline = loop_.now() + shutdown_limit + std::chrono::seconds{1};
            }
            return shutdown_limit + std::chrono::seconds{1};
        case fault_kind::instance_reloaded:
            if (instance.process.has_value()) {
                instance.process->send_signal(SIGHUP);
            }
            return core::duration::zero();
        case fault_kind::store_delayed:
        case fault_kind::store_reset:
        case fault_kind::store_cut:
        case fault_kind::store_one_way:
            set_proxy_mode_until(*instance.proxy, proxy_mode_for(fault.kind), end);
            return fault.length;
        case fault_kind::runner_delayed:
        case fault_kind::runner_reset:
        case fault_kind::runner_cut:
        case fault_kind::runner_one_way:
            set_proxy_mode_until(*runner.proxy, proxy_mode_for(fault.kind), end);
            return fault.length;
        case fault_kind::history_dropped:
            post_message(store_->inbox(), standin::row_store_message{standin::drop_history{}});
            return fault.length;
        case fault_kind::store_restored: {
            const standin::restore_copy copy = copy_for(fault);
            post_message(store_->inbox(), standin::row_store_message{copy});
            return copy.away + copy.rewrite_delay;
        }
        case fault_kind::configured:
            configure();
            update_callers(sending_allowed_);
            return core::duration::zero();
        case fault_kind::runner_paused:
            // No disturbance: a sound runner may be silent for a moment.
            set_runner_fault_until(runner, runner_fault::paused, end);
            pauses_.push_back(runner_pause{core::concat("runner-", fault.subject % runners_.size()),
                                           loop_.now(), end});
            return core::duration::zero();
        case fault_kind::runner_channels_silent:
            set_runner_fault_until(runner, runner_fault::channels_silent, end);
            return core::duration::zero();
        case fault_kind::runner_leaving:
            // Stays 3 s longer than the fault, and so longer than requests may still be sent to it.
            set_runner_fault_until(runner, runner_fault::leaving, end + std::chrono::seconds{3});
            return core::duration::zero();
        default:
            break;
        }
        if (fault.kind < fault_kind::runner_killed) {
            set_store_fault_until(fault, end);
        }
        else {
            set_runner_fault_until(runner, runner_fault_for(fault.kind), end);
        }
        return fault.length;
    }

    bool pause_until(proxied_instance& instance, core::instant end)
    {
        if (!instance.process.has_value() || instance.stop_deadline.has_value() ||
            instance.paused) {
            return false;
        }
        instance.paused = true;
        instance.process->send_signal(SIGSTOP);
        schedule(end, [&instance] {
            instance.paused = false;
            if (instance.process.has_value()) {
                instance.process->send_signal(SIGCONT);
            }
        });
        return true;
    }

    void set_proxy_mode_until(fault_proxy& proxy, proxy_mode mode, core::instant end)
    {
        post_message(proxy.inbox(), set_proxy_mode{mode});
        schedule(end,
                 [this, &proxy] { post_message(proxy.inbox(), set_proxy_mode{proxy_mode::pass}); });
    }

    void set_store_fault_until(const planned_fault& fault, core::instant end)
    {
        const auto set = [this](row_store_fault kind) {
            post_message(store_->inbox(),
                         standin::row_store_message{standin::set_row_store_fault{kind}});
        };
        set(store_fault_for(fault.kind));
        schedule(end, [set] { set(row_store_fault::none); });
    }

    void set_runner_fault_until(const proxied_runner& runner, runner_fault kind, core::instant end)
    {
        const auto inbox = runner.runner->inbox();
        post_message(inbox, standin::set_runner_fault{kind});
        schedule(end, [this, inbox] {
            post_message(inbox, standin::set_runner_fault{runner_fault::none});
        });
    }

    soak_result evaluate(const std::vector<planned_fault>& plan)
    {
        std::vector<call_record> calls;
        std::map<int, std::size_t> statuses;
        while (auto call = calls_->take(core::duration::zero())) {
            ++statuses[call->status];
            calls.push_back(*std::move(call));
        }
        std::vector<standin::runner_report> reports;
        while (auto report = reports_->take(core::duration::zero())) {
            reports.push_back(*std::move(report));
        }
        const std::size_t count = calls.size();
        std::vector<std::string> found = find_violations(
            observations{std::move(calls), std::move(reports), disturbances_, pauses_},
            guarantee_settings{.completes_streams = settings_.silences});
        found.insert(found.end(), violations_.begin(), violations_.end());
        return soak_result{plan, count, std::move(statuses), std::move(found)};
    }
};

} // namespace

absl::StatusOr<soak_result> run_soak(const soak_settings& settings)
{
    system_under_test system{settings};
    const absl::Status started = system.start();
    if (!started.ok()) {
        return started;
    }
    return system.run();
}

} // namespace cyclamen::soak
