#include "instance/metrics_component.hpp"

namespace cyclamen::instance {

metrics_component::metrics_component(const generation_component& generations,
                                     const call_component& calls, senders& out)
    : generations_{generations}, calls_{calls}, out_{out}
{
}

void metrics_component::on_configuration(const model::configuration_ptr& configuration,
                                         core::instant /*now*/)
{
    accounts_.configure(configuration);
}

void metrics_component::on_message(const decision_message& message, core::instant /*now*/)
{
    const auto* front = std::get_if<api::front_event>(&message);
    const auto* query = front == nullptr ? nullptr : std::get_if<api::metrics_query>(front);
    if (query == nullptr) {
        return;
    }
    registry_.set_gauge("live_generations",
                        static_cast<double>(generations_.manager().live_count()));
    out_.front.send(api::metrics_answer{query->caller, registry_.text() + calls_.metrics()});
}

} // namespace cyclamen::instance
