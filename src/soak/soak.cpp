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

constexpr std::array<const char*, 3> domains{"a", "b", "c"};

/// Time in which instances have read everything before the traffic starts.
constexpr core::duration start_time = std::chrono::seconds{2};
/// Time after the traffic in which every request and every instance that leaves has ended.
constexpr core::duration end_time = std::chrono::seconds{5};
/// Pause between two looks at the processes.
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
        loop_.open();
        const core::instant begin = loop_.now() + start_time;
        later(begin, [this] { tell_callers(true); });
        for (const planned_fault& each : plan) {
            later(begin + each.at, [this, each] { apply(each); });
        }
        later(begin + settings_.length, [this] { tell_callers(false); });
        loop_.run_every(tick, [this] { watch(); });
        const core::instant end = begin + settings_.length + leave_limit + end_time;
        while (loop_.now() < end) {
            loop_.run_once(tick);
        }
        loop_.close();
        callers_->stop();
        return judge(plan);
    }

  private:
    const soak_settings settings_;
    /// Its timers play the plan.
    task::event_loop loop_;
    std::shared_ptr<task::channel<standin::runner_report>> reports_ =
        std::make_shared<task::channel<standin::runner_report>>();
    std::shared_ptr<task::channel<call_record>> calls_ =
        std::make_shared<task::channel<call_record>>();
    std::unique_ptr<standin::row_store_task> store_;
    std::vector<runner_place> runners_;
    std::vector<instance_place> instances_;
    std::unique_ptr<caller_task> callers_;
    std::vector<disturbance> disturbances_;
    std::vector<std::string> violations_;
    std::uint64_t revision_ = 0;
    bool sending_ = false;
    std::uint16_t next_port_ =
        static_cast<std::uint16_t>(first_port + settings_.seed % port_blocks * ports_in_block);

    /// Ports that the system gives to outgoing connections could be taken while a process restarts.
    absl::StatusOr<core::socket_address> next_address()
    {
        auto found = core::find_free_loopback_address_from(next_port_);
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
        std::ofstream{base + ".json"} << settings_text(
            name, domains[index % domains.size()],
            instance_addresses{free[0], free[1], free[2], free[3], free[4]}, free[5], seeds);
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
        if (place.process.has_value()) {
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
        post(store_->inbox(), standin::row_store_message{standin::write_rows{{standin::row_write{
                                  "op", "config", configuration_text(revision_), false}}}});
    }

    template <class Message>
    void post(const task::outbox_ptr<Message>& to, Message message)
    {
        if (const absl::Status posted = to->post(std::move(message)); !posted.ok()) {
            violations_.push_back(core::concat("the soak itself: ", posted.message()));
        }
    }

    void tell_callers(bool sending)
    {
        sending_ = sending;
        std::vector<std::uint64_t> processes;
        for (const instance_place& each : instances_) {
            processes.push_back(each.number);
        }
        post(callers_->inbox(), caller_news{revision_, std::move(processes), sending});
    }

    void later(core::instant at, std::function<void()> what) { loop_.run_at(at, std::move(what)); }

    /// No process ends by itself, and one that was told to stop ends in time.
    void watch()
    {
        for (instance_place& each : instances_) {
            if (!each.process.has_value()) {
                continue;
            }
            const auto ended = each.process->poll();
            const bool late = each.stop_due.has_value() && loop_.now() > *each.stop_due;
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
            later(loop_.now() + restart_pause, [this, &each] { restart(each); });
        }
    }

    void apply(const planned_fault& fault)
    {
        instance_place& instance = instances_[fault.subject % instances_.size()];
        const core::duration ends = harm(fault, instance);
        if (ends > core::duration::zero()) {
            disturbances_.push_back(disturbance{loop_.now(), loop_.now() + ends});
        }
    }

    /// @return how long it disturbs the system
    core::duration harm(const planned_fault& fault, instance_place& instance)
    {
        const runner_place& runner = runners_[fault.subject % runners_.size()];
        const core::instant end = loop_.now() + fault.length;
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
                instance.stop_due = loop_.now() + leave_limit + std::chrono::seconds{1};
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
