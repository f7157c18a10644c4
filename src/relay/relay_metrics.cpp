#include "relay/relay_metrics.hpp"

#include "core/text.hpp"

namespace cyclamen::relay {

void relay_metrics::on_ended(const metrics::series_labels& labels, std::string_view outcome)
{
    registry_.counter_of(core::concat("requests_", outcome, "_total"), labels).add();
}

void relay_metrics::on_answered(const metrics::series_labels& labels, core::duration waited)
{
    registry_.histogram_of("answer", labels).add(waited);
}

void relay_metrics::on_attempt(const metrics::series_labels& labels, std::string_view event)
{
    registry_.counter_of(core::concat(event, "_total"), labels).add();
}

void relay_metrics::on_connections_ended(const limits::connection_ends& ended)
{
    registry_.counter_of("connections_displaced").add(ended.displaced);
    registry_.counter_of("connections_refused").add(ended.refused);
    registry_.counter_of("connections_given_up").add(ended.given_up);
}

std::string relay_metrics::text(std::size_t open_requests, std::size_t targets,
                                std::size_t uneven_targets)
{
    registry_.set_gauge("open_requests", static_cast<double>(open_requests));
    registry_.set_gauge("listed_targets", static_cast<double>(targets));
    registry_.set_gauge("uneven_targets", static_cast<double>(uneven_targets));
    return registry_.text();
}

} // namespace cyclamen::relay
