#include <algorithm>

#include "peer/wire.hpp"

namespace cyclamen::peer::detail {

std::uint64_t to_wire(core::duration value)
{
    const auto whole = std::chrono::duration_cast<std::chrono::milliseconds>(value);
    return static_cast<std::uint64_t>(std::max<std::int64_t>(whole.count(), 0));
}

void write_part(const api::configuration_knowledge& value, wire::configuration_knowledge& out)
{
    out.set_revision(value.revision.value());
    out.set_era(value.era.value());
    if (value.age.has_value()) {
        // Adds 1 ms for the fraction that rounding cuts off, so that knowledge never looks fresher
        // at the receiver than it is.
        out.set_age_ms(to_wire(*value.age) + 1);
    }
}

api::configuration_knowledge read_part(const wire::configuration_knowledge& in)
{
    std::optional<core::duration> age;
    if (in.has_age_ms()) {
        age = std::chrono::milliseconds{in.age_ms()};
    }
    return api::configuration_knowledge{core::revision{in.revision()}, age,
                                        api::table_era{in.era()}};
}

void write(const api::revision_notice& value, wire::envelope& out)
{
    wire::revision_notice& notice = *out.mutable_revision_notice();
    notice.set_revision(value.revision.value());
    notice.set_era(value.era.value());
}

void write(const api::configuration_request& value, wire::envelope& out)
{
    wire::configuration_request& request = *out.mutable_configuration_request();
    request.set_held(value.held.value());
    request.set_era(value.era.value());
}

void write(const api::configuration_copy& value, wire::envelope& out)
{
    wire::configuration_copy& copy = *out.mutable_configuration_copy();
    copy.set_revision(value.revision.value());
    copy.set_base(value.base.value());
    copy.set_author(value.author);
    copy.set_nonce(value.nonce);
    copy.set_accepted_ms(value.accepted.time_since_epoch().count());
    copy.set_declarations(value.declarations);
    copy.set_era(value.era.value());
}

void write(const api::status_request& value, wire::envelope& out)
{
    out.mutable_status_request()->set_sequence(value.sequence);
}

void write(const api::status_report& value, wire::envelope& out)
{
    wire::status_report& report = *out.mutable_status_report();
    report.set_sequence(value.sequence);
    write_part(value.configuration, *report.mutable_configuration());
}

api::revision_notice read(const wire::revision_notice& in)
{
    return api::revision_notice{core::revision{in.revision()}, api::table_era{in.era()}};
}

api::configuration_request read(const wire::configuration_request& in)
{
    return api::configuration_request{core::revision{in.held()}, api::table_era{in.era()}};
}

api::configuration_copy read(const wire::configuration_copy& in)
{
    return api::configuration_copy{core::revision{in.revision()},
                                   core::revision{in.base()},
                                   in.author(),
                                   in.nonce(),
                                   core::wall_time{std::chrono::milliseconds{in.accepted_ms()}},
                                   in.declarations(),
                                   api::table_era{in.era()}};
}

api::status_request read(const wire::status_request& in)
{
    return api::status_request{in.sequence()};
}

api::status_report read(const wire::status_report& in)
{
    return api::status_report{in.sequence(), read_part(in.configuration())};
}

} // namespace cyclamen::peer::detail
