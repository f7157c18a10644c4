#include "replica/feed_codec.hpp"

#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wpedantic"
#pragma GCC diagnostic ignored "-Wunused-parameter"
#include "replica/generated/feed.pb.h"
#pragma GCC diagnostic pop

#include "core/error.hpp"
#include "replica/pace_codec.hpp"

namespace cyclamen::replica {

namespace {

/// Messages carry a position as the fields `era` and `version`.
template <class Message>
void write_version(const core::store_version& version, Message& into)
{
    into.set_era(version.era());
    into.set_version(version.number());
}

template <class Message>
core::store_version read_version(const Message& in)
{
    return core::store_version{in.era(), in.version()};
}

template <class Message>
absl::Status parse(std::string_view body, Message& into)
{
    if (!into.ParseFromArray(body.data(), static_cast<int>(body.size()))) {
        return core::make_error(core::error_kind::invalid_argument,
                                "the body is not a valid feed message",
                                "run the same version on all instances");
    }
    return absl::OkStatus();
}

} // namespace

std::string encode(const feed_query& query)
{
    wire::feed_query out;
    for (const table_state& each : query.known) {
        wire::table_state& written = *out.add_known();
        written.set_table(each.table);
        write_version(each.version, written);
    }
    out.set_wait_ms(static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(query.wait).count()));
    std::string message = out.SerializeAsString();
    append_paces(pace_changes{query.paces, query.pace_position}, message);
    return message;
}

std::string encode(const feed_answer& answer)
{
    wire::feed_answer out;
    for (const table_update& each : answer.tables) {
        wire::table_news& written = *out.add_tables();
        written.set_table(each.table);
        write_version(each.version, written);
        written.set_whole(each.complete);
        for (const row& changed : each.rows) {
            wire::row& line = *written.add_rows();
            line.set_key(changed.key);
            line.set_value(changed.value);
            write_version(changed.version, line);
            line.set_removed(changed.removed);
        }
    }
    out.set_age_ms(static_cast<std::uint32_t>(
        std::chrono::ceil<std::chrono::milliseconds>(answer.age).count()));
    std::string message = out.SerializeAsString();
    append_paces(pace_changes{answer.paces, answer.pace_position}, message);
    return message;
}

absl::StatusOr<feed_query> decode_feed_query(std::string_view body)
{
    wire::feed_query in;
    if (const absl::Status parsed = parse(body, in); !parsed.ok()) {
        return parsed;
    }
    std::vector<table_state> known;
    for (const wire::table_state& each : in.known()) {
        known.push_back(table_state{each.table(), read_version(each)});
    }
    pace_changes paces = find_paces(body);
    return feed_query{std::move(known), std::chrono::milliseconds{in.wait_ms()},
                      std::move(paces.paces), paces.position};
}

absl::StatusOr<feed_answer> decode_feed_answer(std::string_view body)
{
    wire::feed_answer in;
    if (const absl::Status parsed = parse(body, in); !parsed.ok()) {
        return parsed;
    }
    std::vector<table_update> tables;
    for (const wire::table_news& each : in.tables()) {
        std::vector<row> rows;
        for (const wire::row& line : each.rows()) {
            rows.push_back(row{line.key(), line.value(), read_version(line), line.removed()});
        }
        tables.push_back(
            table_update{each.table(), read_version(each), each.whole(), std::move(rows)});
    }
    pace_changes paces = find_paces(body);
    return feed_answer{std::move(tables), std::chrono::milliseconds{in.age_ms()},
                       std::move(paces.paces), paces.position};
}

} // namespace cyclamen::replica
