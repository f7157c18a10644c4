#include "standin/row_store_task.hpp"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <utility>

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

#include "core/log.hpp"
#include "core/text.hpp"

namespace cyclamen::standin {

namespace {

using document = nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_forbidden = 403;
constexpr int status_history_lost = 410;
constexpr int status_not_found = 404;
constexpr int status_condition_failed = 412;
constexpr int status_unavailable = 503;
constexpr int slow_factor = 50;
constexpr const char* era_header = "Store-Era";

std::string percent_decode(std::string_view text)
{
    std::string plain;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned code = 0;
        if (text[i] == '%' && i + 2 < text.size() &&
            std::from_chars(text.data() + i + 1, text.data() + i + 3, code, 16).ec == std::errc{}) {
            plain += static_cast<char>(code);
            i += 2;
        }
        else {
            plain += text[i];
        }
    }
    return plain;
}

std::map<std::string, std::string> parse_query(std::string_view path)
{
    std::map<std::string, std::string> fields;
    const std::size_t start = path.find('?');
    if (start == std::string_view::npos) {
        return fields;
    }
    for (const std::string_view field : core::split(path.substr(start + 1), '&')) {
        const std::size_t equals = field.find('=');
        if (equals != std::string_view::npos) {
            fields.emplace(field.substr(0, equals), percent_decode(field.substr(equals + 1)));
        }
    }
    return fields;
}

std::uint64_t number_field(const std::map<std::string, std::string>& query, const std::string& name)
{
    const auto found = query.find(name);
    std::uint64_t value = 0;
    if (found != query.end()) {
        std::from_chars(found->second.data(), found->second.data() + found->second.size(), value);
    }
    return value;
}

std::string text_field(const std::map<std::string, std::string>& query, const std::string& name)
{
    const auto found = query.find(name);
    return found == query.end() ? std::string{} : found->second;
}

/// True for tables that only the operator and the runners write.
bool is_externally_written(const std::string& table)
{
    return table == "op" || table == "servers";
}

} // namespace

row_store_task::row_store_task(row_store_settings settings)
    : basic_task{"stand-in store"}, settings_{std::move(settings)}
{
}

row_store_task::~row_store_task()
{
    stop();
}

absl::Status row_store_task::on_start()
{
    return listen();
}

absl::Status row_store_task::listen()
{
    auto listening = http::server::listen(loop(), settings_.listen, http::server_settings{},
                                          static_cast<http::server_handler&>(*this));
    if (!listening.ok()) {
        return listening.status();
    }
    server_ = *std::move(listening);
    return absl::OkStatus();
}

void row_store_task::on_message(const row_store_message& message)
{
    std::visit([this](const auto& each) { handle(each); }, message);
}

void row_store_task::on_stop()
{
    server_.reset();
}

void row_store_task::handle(const set_row_store_fault& command)
{
    const bool was_down = fault_ == row_store_fault::down;
    fault_ = command.kind;
    if (fault_ == row_store_fault::down) {
        waiting_feeds_.clear();
        server_.reset();
    }
    else if (was_down && !away_) {
        if (const absl::Status listening = listen(); !listening.ok()) {
            core::log_event(core::log_level::error, "store_not_listening",
                            {{"reason", std::string{listening.message()}}});
        }
    }
    answer_waiting_feeds();
}

void row_store_task::handle(const write_rows& command)
{
    if (pending_rewrites_ > 0) {
        unwritten_.push_back(command.writes);
        return;
    }
    rows_.write_externally(command.writes);
    record_version();
    answer_waiting_feeds();
}

void row_store_task::handle(const restore_copy& command)
{
    // Rows that wait for an earlier copy's rewrites are newer than those that this copy loses.
    std::vector<std::vector<row_write>> lost = rows_.restore(version_at(now() - command.age));
    std::move(unwritten_.begin(), unwritten_.end(), std::back_inserter(lost));
    unwritten_.swap(lost);
    while (!version_times_.empty() && version_times_.back().version > rows_.version()) {
        version_times_.pop_back();
    }
    ++pending_rewrites_;
    if (command.away == core::duration::zero()) {
        come_back(command.rewrite_delay);
        return;
    }
    away_ = true;
    waiting_feeds_.clear();
    server_.reset();
    loop().run_after(command.away, [this, delay = command.rewrite_delay] { come_back(delay); });
}

void row_store_task::come_back(core::duration rewrite_delay)
{
    away_ = false;
    if (fault_ != row_store_fault::down && server_ == nullptr) {
        if (const absl::Status listening = listen(); !listening.ok()) {
            core::log_event(core::log_level::error, "store_not_listening",
                            {{"reason", std::string{listening.message()}}});
        }
    }
    answer_waiting_feeds();
    loop().run_after(rewrite_delay, [this] { rewrite_rows(); });
}

void row_store_task::rewrite_rows()
{
    if (--pending_rewrites_ > 0) {
        return;
    }
    for (const std::vector<row_write>& writes : std::exchange(unwritten_, {})) {
        rows_.write_externally(writes);
        record_version();
    }
    answer_waiting_feeds();
}

void row_store_task::record_version()
{
    version_times_.push_back(version_time{rows_.version(), now()});
    if (version_times_.size() > row_store::max_undone_transactions) {
        version_times_.pop_front();
    }
}

std::uint64_t row_store_task::version_at(core::instant time) const
{
    std::uint64_t version = 0;
    for (const version_time& each : version_times_) {
        if (each.reached > time) {
            break;
        }
        version = each.version;
    }
    return version;
}

void row_store_task::handle(const drop_history& /*command*/)
{
    rows_.drop_history();
    answer_waiting_feeds();
}

void row_store_task::on_request(http::exchange_id exchange, const http::request& request)
{
    if (fault_ == row_store_fault::silent) {
        return;
    }
    const std::string_view path = std::string_view{request.path}.substr(0, request.path.find('?'));
    ++calls_[std::string{path}];
    const auto query = parse_query(request.path);
    if (fault_ == row_store_fault::busy) {
        answer(exchange, status_unavailable, "{}");
    }
    else if (path == "/rows-tx") {
        on_transaction(exchange, request);
    }
    else if (path == "/rows-get") {
        answer_rows(exchange, rows_.read(text_field(query, "table"), text_field(query, "from"),
                                         settings_.max_rows));
    }
    else if (path == "/rows-feed") {
        on_feed(exchange, query);
    }
    else {
        answer(exchange, status_not_found, "{}");
    }
}

void row_store_task::on_disconnect(http::exchange_id exchange)
{
    if (const auto gone = waiting_feeds_.extract(exchange); !gone.empty()) {
        loop().cancel(gone.mapped().timer);
    }
}

void row_store_task::on_transaction(http::exchange_id exchange, const http::request& request)
{
    const document body = document::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        answer(exchange, status_bad_request, "{}");
        return;
    }
    std::vector<row_condition> conditions;
    for (const document& each : body.value("expected_revision", document::array())) {
        conditions.push_back(
            row_condition{each.at("table"), each.at("key"), each.at("schema_version")});
    }
    std::vector<row_write> writes;
    for (const document& each : body.value("put", document::array())) {
        std::string value;
        absl::Base64Unescape(each.at("value").get<std::string>(), &value);
        writes.push_back(row_write{each.at("table"), each.at("key"), std::move(value), false});
    }
    for (const document& each : body.value("remove", document::array())) {
        writes.push_back(row_write{each.at("table"), each.at("key"), {}, true});
    }
    for (const row_write& each : writes) {
        if (is_externally_written(each.table)) {
            answer(exchange, status_forbidden, "{}");
            return;
        }
    }
    const bool applied = rows_.commit(conditions, writes);
    if (applied) {
        record_version();
    }
    if (fault_ == row_store_fault::losing) {
        server_->abort(exchange);
    }
    else {
        answer(exchange, applied ? status_ok : status_condition_failed, R"({"rows":[]})");
    }
    answer_waiting_feeds();
}

void row_store_task::on_feed(http::exchange_id exchange,
                             const std::map<std::string, std::string>& query)
{
    feed_call call{text_field(query, "table"), number_field(query, "after"), {}};
    if (answer_feed(exchange, call, false)) {
        return;
    }
    const std::chrono::milliseconds max_wait{number_field(query, "wait_ms")};
    call.timer = loop().run_after(max_wait, [this, exchange] {
        if (const auto ended = waiting_feeds_.extract(exchange); !ended.empty()) {
            answer_feed(exchange, ended.mapped(), true);
        }
    });
    waiting_feeds_.emplace(exchange, std::move(call));
}

bool row_store_task::answer_feed(http::exchange_id exchange, const feed_call& call,
                                 bool allow_empty)
{
    const auto changes = rows_.changes(call.table, call.after);
    if (!changes.has_value()) {
        answer(exchange, status_history_lost, "{}");
        return true;
    }
    if (changes->rows.empty() && !allow_empty) {
        return false;
    }
    answer_rows(exchange, *changes);
    return true;
}

void row_store_task::answer_waiting_feeds()
{
    if (fault_ == row_store_fault::silent) {
        return;
    }
    for (auto waiting = waiting_feeds_.begin(); waiting != waiting_feeds_.end();) {
        if (answer_feed(waiting->first, waiting->second, false)) {
            loop().cancel(waiting->second.timer);
            waiting = waiting_feeds_.erase(waiting);
        }
        else {
            ++waiting;
        }
    }
}

void row_store_task::answer_rows(http::exchange_id exchange, const replica::table_update& rows)
{
    document listed = document::array();
    for (const replica::row& each : rows.rows) {
        document row{{"table", rows.table},
                     {"part", ""},
                     {"key", each.key},
                     {"schema_version", each.version.number()}};
        if (each.removed) {
            row["deleted"] = true;
        }
        else {
            row["value"] = absl::Base64Escape(each.value);
        }
        listed.push_back(std::move(row));
    }
    const auto now_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(now().time_since_epoch()).count();
    // Only a partial read has more rows: a feed answer always contains all changes.
    answer(exchange, status_ok,
           document{{"rows", std::move(listed)},
                    {"schema_version", rows.version.number()},
                    {"has_more", !rows.complete && rows.rows.size() == settings_.max_rows},
                    {"now_ms", now_ms}}
               .dump());
}

void row_store_task::answer(http::exchange_id exchange, int status, std::string body)
{
    const core::duration delay =
        settings_.latency * (fault_ == row_store_fault::slow ? slow_factor : 1);
    const std::string era = std::to_string(rows_.era());
    loop().run_after(delay, [this, exchange, status, era, body = std::move(body)] {
        if (server_ != nullptr && fault_ != row_store_fault::silent) {
            server_->respond(exchange,
                             http::response_head{
                                 status, {{"content-type", "application/json"}, {era_header, era}}},
                             body);
        }
    });
}

} // namespace cyclamen::standin
