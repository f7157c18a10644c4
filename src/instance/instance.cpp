#include "instance/instance.hpp"

#include "core/hash.hpp"
#include "core/log.hpp"
#include "generation/fixed_timeout_policy.hpp"
#include "http/revision_codec.hpp"
#include "instance/checkpoint_component.hpp"
#include "instance/generation_component.hpp"
#include "instance/limits_component.hpp"
#include "instance/metrics_component.hpp"
#include "instance/rollout_component.hpp"
#include "instance/routing_component.hpp"
#include "routing/fewest_open_chooser.hpp"
#include "routing/informed_chooser.hpp"
#include "routing/round_robin_chooser.hpp"
#include "task/discarding_outbox.hpp"

namespace cyclamen::instance {

namespace {

/// Fixed timeouts for the first token and for each further token in the naive mode, which is the
/// baseline of the benchmarks.
constexpr core::duration naive_first_token_timeout = std::chrono::seconds{10};
constexpr core::duration naive_token_gap_timeout = std::chrono::seconds{5};

generation::generation_policies make_policies(const settings::instance_settings& settings)
{
    if (!settings.is_naive) {
        return {};
    }
    return {std::make_unique<generation::fixed_timeout_policy>(naive_first_token_timeout,
                                                               naive_token_gap_timeout),
            std::make_unique<generation::restart_from_beginning>()};
}

/// @return an incarnation from the start time, so that a later process has a higher number provided
/// that the wall clock is correct
core::incarnation make_incarnation()
{
    const auto started = core::system_clock{}.wall().time_since_epoch();
    return core::incarnation{static_cast<std::uint64_t>(started.count())};
}

/// @return the peer task, null if the settings have no peer address
std::unique_ptr<peer::peer_task> make_peer_task(const settings::instance_settings& settings,
                                                core::incarnation incarnation,
                                                task::outbox_ptr<api::peer_event> decisions,
                                                task::task_host& host)
{
    if (!settings.peers.listen.has_value()) {
        return nullptr;
    }
    return std::make_unique<peer::peer_task>(peer::peer_settings{settings.name, incarnation,
                                                                 *settings.peers.listen,
                                                                 settings.peers.keys},
                                             std::move(decisions), &host);
}

/// @return the initial membership record of this instance
api::member make_self_record(const settings::instance_settings& settings,
                             core::incarnation incarnation)
{
    return api::member{{settings.name, incarnation},
                       1,
                       api::member_state::starting,
                       settings.failure_domain,
                       settings.listen,
                       settings.peers.listen.value_or(settings.listen)};
}

} // namespace

absl::StatusOr<std::unique_ptr<instance>>
instance::start(const settings::instance_settings& settings, const chart::library& charts)
{
    const auto loaded = load_charts(charts);
    if (!loaded.ok()) {
        return loaded.status();
    }
    std::unique_ptr<instance> created{new instance{settings}};
    created->add_components(*loaded);
    const absl::Status started = created->start_tasks();
    if (!started.ok()) {
        return started;
    }
    core::log_event(core::log_level::info, "instance_started",
                    {{"instance", settings.name.str()},
                     {"failure_domain", settings.failure_domain.str()},
                     {"listen", core::to_string(settings.listen)}});
    return created;
}

instance::instance(const settings::instance_settings& settings)
    : settings_{settings}, incarnation_{make_incarnation()}, decisions_{settings_.declarations,
                                                                        &host_},
      front_{http::front_settings{settings_.listen, settings_.max_body_bytes},
             task::narrow<api::front_event>(decisions_.inbox()), &host_},
      back_{task::narrow<api::engine_event>(decisions_.inbox()), &host_},
      status_{task::narrow<api::target_event>(decisions_.inbox()), &host_},
      peers_{make_peer_task(settings_, incarnation_,
                            task::narrow<api::peer_event>(decisions_.inbox()), host_)},
      table_{settings_.platform, task::narrow<api::table_event>(decisions_.inbox()), &host_},
      services_{task::narrow<api::service_event>(decisions_.inbox()), &host_},
      out_{{front_.inbox(), decisions_.sender_loop()},
           {back_.inbox(), decisions_.sender_loop()},
           {peers_inbox(), decisions_.sender_loop()},
           {table_.inbox(), decisions_.sender_loop()},
           {status_.inbox(), decisions_.sender_loop()},
           {services_.inbox(), decisions_.sender_loop()}}
{
}

std::unique_ptr<routing::target_chooser> instance::add_routing(const instance_charts& charts,
                                                               limits::fleet_observer& fleet)
{
    if (settings_.is_naive) {
        return std::make_unique<routing::round_robin_chooser>();
    }
    auto chooser = std::make_unique<routing::informed_chooser>(
        routing::chooser_settings{settings_.failure_domain}, charts.target_health,
        std::make_unique<routing::seeded_random>(core::hash_of(settings_.name.str())));
    decisions_.add(std::make_unique<routing_component>(settings_.name, *chooser, fleet, out_));
    return chooser;
}

std::unique_ptr<config_component> instance::make_config_component(const instance_charts& charts,
                                                                  table_component& table,
                                                                  membership_component& members)
{
    return std::make_unique<config_component>(
        config_component_settings{settings_.name, incarnation_,
                                  settings_.platform.table.has_value(), settings_.operators},
        charts.configuration_write, std::make_unique<http::json_revision_codec>(), table.table(),
        members, out_, [this](model::configuration_ptr configuration) {
            decisions_.put_in_force(std::move(configuration));
        });
}

std::unique_ptr<call_component> instance::make_call_component(const instance_charts& charts,
                                                              table_component& table)
{
    return std::make_unique<call_component>(
        settings_.call, call_component::make_origin(settings_.name), charts.call,
        std::make_unique<routing::fewest_open_chooser>(), table.table(), out_);
}

task::outbox_ptr<api::peer_command> instance::peers_inbox() const
{
    if (peers_ == nullptr) {
        return std::make_shared<task::discarding_outbox<api::peer_command>>();
    }
    return peers_->inbox();
}

void instance::add_components(const instance_charts& charts)
{
    auto members = std::make_unique<membership_component>(
        membership_component_settings{make_self_record(settings_, incarnation_),
                                      membership::membership_settings{settings_.peers.seeds},
                                      membership::lifecycle_settings{settings_.drain_limit}},
        charts.lifecycle, out_, left_);
    auto table = std::make_unique<table_component>(settings_.table_client, out_);
    auto configurations = make_config_component(charts, *table, *members);
    auto calls = make_call_component(charts, *table);
    auto limits = std::make_unique<limits_component>();
    auto generations = std::make_unique<generation_component>(
        settings_.generation, charts.generation, add_routing(charts, limits->fleet()), out_,
        make_policies(settings_));
    auto metrics = std::make_unique<metrics_component>(*generations, *calls, out_);
    generations->manager().add_listener(metrics->accounts());
    auto rollouts = std::make_unique<rollout_component>(settings_.name, charts.rollout,
                                                        decisions_.sender_loop().clock());
    generations->follow(*rollouts, *rollouts);
    if (!settings_.is_naive) {
        generations->manager().use_admission(limits->policy());
    }
    members->add_listener(*limits);
    if (peers_ != nullptr && !settings_.is_naive) {
        auto checkpoints = std::make_unique<checkpoint_component>(
            make_self_record(settings_, incarnation_),
            generation::checkpoint_charts{charts.checkpoint, charts.takeover},
            generations->manager(), out_);
        members->add_listener(*checkpoints);
        decisions_.add(std::move(checkpoints));
    }
    decisions_.add(std::move(table));
    decisions_.add(std::move(members));
    decisions_.add(std::move(configurations));
    decisions_.add(std::move(calls));
    decisions_.add(std::move(limits));
    decisions_.add(std::move(rollouts));
    decisions_.add(std::move(generations));
    decisions_.add(std::move(metrics));
}

absl::Status instance::start_tasks()
{
    host_.add(decisions_);
    host_.add(table_);
    host_.add(services_);
    host_.add(back_);
    host_.add(status_);
    if (peers_ != nullptr) {
        host_.add(*peers_);
    }
    host_.add(front_);
    return host_.start();
}

void instance::request_stop()
{
    const absl::Status posted =
        decisions_.inbox()->post(api::lifecycle_command{api::stop_request{}});
    static_cast<void>(posted);
}

std::optional<api::instance_left> instance::wait_left(core::duration timeout)
{
    return left_->take(timeout);
}

instance::~instance()
{
    stop();
}

void instance::stop()
{
    host_.stop();
}

core::duration instance::processor_time() const
{
    return host_.processor_time();
}

} // namespace cyclamen::instance
