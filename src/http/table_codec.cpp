#include "http/table_codec.hpp"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

#include "core/error.hpp"
#include "core/text.hpp"

namespace cyclamen::http {

namespace {

using document = nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_conflict = 409;
constexpr int status_internal = 500;
constexpr int status_unavailable = 503;

absl::string_view to_absl(std::string_view text)
{
    return {text.data(), text.size()};
}

std::string to_base64(std::string_view bytes)
{
    return absl::Base64Escape(to_absl(bytes));
}

std::string from_base64(const std::string& text)
{
    std::string bytes;
    if (!absl::Base64Unescape(to_absl(text), &bytes)) {
        throw document::other_error::create(0, "value is not base64", nullptr);
    }
    return bytes;
}

document encode_key(const api::row_key& key)
{
    return {{"table", key.table}, {"row", key.row}};
}

api::row_key decode_key(const document& body)
{
    return api::row_key{body.at("table").get<std::string>(), body.at("row").get<std::string>()};
}

document encode_row(const api::row& row)
{
    document body = encode_key(row.key);
    body["value"] = to_base64(row.value);
    body["version"] = row.version.value();
    return body;
}

/// @return the era of an answer or a condition; 0 for a service that never restores its table
api::table_era decode_era(const document& body)
{
    return api::table_era{body.value("era", std::uint64_t{0})};
}

void encode_era(api::table_era era, document& body)
{
    if (era != api::table_era{}) {
        body["era"] = era.value();
    }
}

api::row decode_row(const document& body, api::table_era era)
{
    return api::row{decode_key(body), from_base64(body.at("value").get<std::string>()),
                    api::row_version{body.at("version").get<std::uint64_t>(), era}};
}

std::string encode_rows(const std::vector<api::row>& rows, api::table_era era)
{
    document list = document::array();
    for (const api::row& row : rows) {
        list.push_back(encode_row(row));
    }
    document body{{"rows", std::move(list)}};
    encode_era(era, body);
    return body.dump();
}

std::vector<api::row> decode_rows(const document& body)
{
    std::vector<api::row> rows;
    for (const document& row : body.at("rows")) {
        rows.push_back(decode_row(row, decode_era(body)));
    }
    return rows;
}

request post(std::string_view path, const document& body)
{
    return request{"POST", std::string{path}, {{"content-type", "application/json"}}, body.dump()};
}

request encode(const api::table_commit& command)
{
    document writes = document::array();
    for (const api::row_write& row_write : command.writes) {
        document write = encode_key(row_write.key);
        write["value"] = to_base64(row_write.value);
        if (row_write.expected.has_value()) {
            write["expected"] = row_write.expected->value();
            encode_era(row_write.expected->era(), write);
        }
        writes.push_back(std::move(write));
    }
    return post(table_commit_path, {{"writes", std::move(writes)}});
}

request encode(const api::table_read& command)
{
    document keys = document::array();
    for (const api::row_key& key : command.keys) {
        keys.push_back(encode_key(key));
    }
    return post(table_read_path, {{"keys", std::move(keys)}});
}

request encode(const api::table_scan& command)
{
    return post(table_scan_path, {{"table", command.table}, {"prefix", command.prefix}});
}

api::table_commit decode_commit(api::table_request number, const document& body)
{
    std::vector<api::row_write> writes;
    for (const document& write : body.at("writes")) {
        std::optional<api::row_version> expected;
        if (write.contains("expected")) {
            expected =
                api::row_version{write.at("expected").get<std::uint64_t>(), decode_era(write)};
        }
        writes.push_back(api::row_write{
            decode_key(write), from_base64(write.at("value").get<std::string>()), expected});
    }
    return api::table_commit{number, std::move(writes)};
}

api::table_read decode_read(api::table_request number, const document& body)
{
    std::vector<api::row_key> keys;
    for (const document& key : body.at("keys")) {
        keys.push_back(decode_key(key));
    }
    return api::table_read{number, std::move(keys)};
}

api::table_command decode(api::table_request number, const request& received)
{
    const document body = document::parse(received.body);
    if (received.path == table_commit_path) {
        return decode_commit(number, body);
    }
    if (received.path == table_read_path) {
        return decode_read(number, body);
    }
    return api::table_scan{number, body.at("table").get<std::string>(),
                           body.at("prefix").get<std::string>()};
}

/// @return true if the status guarantees that nothing was written
bool rules_out_write(int status)
{
    return status == status_unavailable || (status > status_ok && status < status_internal);
}

} // namespace

request encode_table_command(const api::table_command& command)
{
    return std::visit([](const auto& message) { return encode(message); }, command);
}

absl::StatusOr<api::table_command> decode_table_command(api::table_request number,
                                                        const request& received)
{
    try {
        return decode(number, received);
    }
    catch (const document::exception& error) {
        return core::make_error(core::error_kind::invalid_argument, error.what(),
                                "see docs/PLATFORM.md for the format");
    }
}

int table_status_of(const api::table_event& event)
{
    if (std::holds_alternative<api::table_conflict>(event)) {
        return status_conflict;
    }
    if (const auto* failed = std::get_if<api::table_failed>(&event)) {
        return failed->may_be_applied ? status_internal : status_unavailable;
    }
    return status_ok;
}

std::string encode_table_event(const api::table_event& event)
{
    if (const auto* conflict = std::get_if<api::table_conflict>(&event)) {
        return encode_rows(conflict->current, conflict->era);
    }
    if (const auto* rows = std::get_if<api::table_rows>(&event)) {
        return encode_rows(rows->rows, rows->era);
    }
    if (const auto* failed = std::get_if<api::table_failed>(&event)) {
        return document{{"error", failed->detail}}.dump();
    }
    document body = document::object();
    encode_era(std::get<api::table_committed>(event).era, body);
    return body.dump();
}

api::table_event decode_table_event(const api::table_command& command, int status,
                                    std::string_view body)
{
    const api::table_request number = table_request_of(command);
    const bool writes = std::holds_alternative<api::table_commit>(command);
    try {
        if (status == status_ok) {
            const document answer = document::parse(body);
            const api::table_era era = decode_era(answer);
            return writes ? api::table_event{api::table_committed{number, era}}
                          : api::table_event{api::table_rows{number, decode_rows(answer), era}};
        }
        if (status == status_conflict && writes) {
            const document answer = document::parse(body);
            return api::table_conflict{number, decode_rows(answer), decode_era(answer)};
        }
    }
    catch (const document::exception& error) {
        return api::table_failed{number, writes && !rules_out_write(status), error.what()};
    }
    return api::table_failed{number, writes && !rules_out_write(status),
                             core::concat("table service answered with status ", status)};
}

api::table_request table_request_of(const api::table_command& command)
{
    return std::visit([](const auto& message) { return message.request; }, command);
}

} // namespace cyclamen::http
