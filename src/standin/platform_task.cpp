#include "standin/platform_task.hpp"

#include <iterator>
#include <map>

#include <nlohmann/json.hpp>

#include "core/log.hpp"
#include "core/text.hpp"
#include "http/table_codec.hpp"

namespace cyclamen::standin {

namespace {

using document = nlohmann::json;

constexpr std::size_t max_body_bytes = 64'000'000;
constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;
constexpr std::string_view object_prefix = "/v1/objects/";
constexpr std::string_view weight_prefix = "/v1/weights/";
/// Greatest age of a state that the table can be restored to.
constexpr core::duration max_restore_age = std::chrono::minutes{5};
/// Leaves time to send the answer before a fault starts.
constexpr core::duration fault_delay = std::chrono::milliseconds{10};

} // namespace

std::optional<platform_fault> parse_platform_fault(std::string_view text)
{
    static const std::map<std::string_view, platform_fault> kinds{
        {"none", platform_fault::none},         {"down", platform_fault::down},
        {"refusing", platform_fault::refusing}, {"silent", platform_fault::silent},
        {"losing", platform_fault::losing},     {"slow", platform_fault::slow},
        {"restored", platform_fault::restored}};
    const auto found = kinds.find(text);
    return found == kinds.end() ? std::nullopt : std::optional{found->second};
}

platform_task::platform_task(platform_settings settings)
    : basic_task{"stand-in platform"}, settings_{std::move(settings)},
      weights_{settings_.load_time}, instances_{settings_.list_lag, settings_.list_lapse}
{
}

platform_task::~platform_task()
{
    stop();
}

platform_counts platform_task::counts() const
{
    return platform_counts{transactions_, rows_written_, reads_};
}

absl::Status platform_task::on_start()
{
    return listen();
}

absl::Status platform_task::listen()
{
    auto listening = http::server::listen(
        loop(), settings_.listen,
        http::server_settings{http::message_limits{.max_body_bytes = max_body_bytes}}, *this);
    if (!listening.ok()) {
        return listening.status();
    }
    server_ = *std::move(listening);
    return absl::OkStatus();
}

void platform_task::on_message(const set_platform_fault& command)
{
    apply(command);
}

void platform_task::on_stop()
{
    server_.reset();
}

void platform_task::on_disconnect(http::exchange_id /*exchange*/) {}

void platform_task::on_request(http::exchange_id exchange, const http::request& request)
{
    const std::string_view path = request.path;
    if (path.starts_with("/admin/")) {
        on_admin(exchange, request);
    }
    else if (fault_ == platform_fault::silent) {
        return;
    }
    else if (fault_ == platform_fault::refusing) {
        answer(exchange, status_unavailable, "{}", settings_.latency);
    }
    else if (path == http::table_commit_path || path == http::table_read_path ||
             path == http::table_scan_path) {
        on_table(exchange, request);
    }
    else if (path.starts_with(object_prefix)) {
        on_object(exchange, request);
    }
    else if (path.starts_with(weight_prefix)) {
        on_weights(exchange);
    }
    else if (path == "/v1/instances") {
        on_instances(exchange, request);
    }
    else {
        answer(exchange, status_not_found, R"({"error":"unknown path"})", settings_.latency);
    }
}

void platform_task::answer(http::exchange_id exchange, int status, std::string body,
                           core::duration delay)
{
    const auto scaled_delay = std::chrono::duration_cast<core::duration>(delay * slowdown_);
    loop().run_after(scaled_delay, [this, exchange, status, body = std::move(body)] {
        if (server_ != nullptr) {
            server_->respond(exchange,
                             http::response_head{status, {{"content-type", "application/json"}}},
                             body);
        }
    });
}

void platform_task::on_admin(http::exchange_id exchange, const http::request& request)
{
    if (request.path == "/admin/stats") {
        const document body{{"transactions", transactions_},
                            {"rows_written", rows_written_},
                            {"reads", reads_},
                            {"rows", table_.size()}};
        answer(exchange, status_ok, body.dump(), core::duration::zero());
        return;
    }
    const document body = document::parse(request.body, nullptr, false);
    const auto kind =
        body.is_object() ? parse_platform_fault(body.value("kind", "")) : std::nullopt;
    if (!kind.has_value()) {
        answer(
            exchange, status_bad_request,
            R"({"error":"unknown `kind`: use none, down, refusing, silent, losing, slow or restored"})",
            core::duration::zero());
        return;
    }
    answer(exchange, status_ok, "{}", core::duration::zero());
    const set_platform_fault command{*kind, body.value("factor", 1.0),
                                     std::chrono::milliseconds{body.value("back_ms", 0U)}};
    const bool has_length = body.contains("for_ms") && body["for_ms"].is_number_unsigned();
    loop().run_after(fault_delay, [this, command, has_length] {
        apply(command);
        if (command.kind == platform_fault::restored && has_length) {
            apply({platform_fault::down});
        }
    });
    if (has_length) {
        const std::chrono::milliseconds length{body["for_ms"].get<std::uint32_t>()};
        loop().run_after(fault_delay + length, [this] { apply({platform_fault::none}); });
    }
}

void platform_task::on_table(http::exchange_id exchange, const http::request& request)
{
    const auto command = http::decode_table_command(api::table_request{}, request);
    if (!command.ok()) {
        const document body{{"error", std::string{command.status().message()}}};
        answer(exchange, status_bad_request, body.dump(), settings_.latency);
        return;
    }
    const api::table_event event = table_.apply(*command);
    transactions_at_.insert_or_assign(now(), table_.transactions());
    // The last entry before the horizon still tells the state as of the horizon.
    const auto after = transactions_at_.upper_bound(now() - max_restore_age);
    if (after != transactions_at_.begin()) {
        transactions_at_.erase(transactions_at_.begin(), std::prev(after));
    }
    count_command(*command, event);
    if (fault_ == platform_fault::losing && std::holds_alternative<api::table_commit>(*command)) {
        loop().run_after(core::duration::zero(), [this, exchange] {
            if (server_ != nullptr) {
                server_->abort(exchange);
            }
        });
        return;
    }
    answer(exchange, http::table_status_of(event), http::encode_table_event(event),
           settings_.latency);
}

void platform_task::count_command(const api::table_command& command, const api::table_event& event)
{
    const auto* commit = std::get_if<api::table_commit>(&command);
    if (commit == nullptr) {
        ++reads_;
        return;
    }
    ++transactions_;
    if (std::holds_alternative<api::table_committed>(event)) {
        rows_written_ += commit->writes.size();
    }
}

void platform_task::on_object(http::exchange_id exchange, const http::request& request)
{
    const std::string name = request.path.substr(object_prefix.size());
    if (request.method == "PUT") {
        objects_.put(name, request.body);
        answer(exchange, status_ok, "{}", settings_.latency);
        return;
    }
    const auto found = objects_.get(name);
    answer(exchange, found.has_value() ? status_ok : status_not_found, found.value_or(""),
           settings_.latency);
}

void platform_task::on_weights(http::exchange_id exchange)
{
    answer(exchange, status_ok, "{}", weights_.begin_load(now()) - now());
}

void platform_task::on_instances(http::exchange_id exchange, const http::request& request)
{
    if (request.method == "POST") {
        const document body = document::parse(request.body, nullptr, false);
        if (!body.is_object() || !body.contains("name") || !body["name"].is_string()) {
            answer(exchange, status_bad_request, R"({"error":"/name: a string is required"})",
                   settings_.latency);
            return;
        }
        instances_.report(body["name"].get<std::string>(), request.body, now());
        answer(exchange, status_ok, "{}", settings_.latency);
        return;
    }
    document list = document::array();
    for (const auto& [name, state] : instances_.list(now())) {
        list.push_back(document::parse(state));
    }
    answer(exchange, status_ok, document{{"instances", std::move(list)}}.dump(), settings_.latency);
}

void platform_task::restore_table(core::duration back)
{
    const auto after = transactions_at_.upper_bound(now() - back);
    const std::uint64_t transactions =
        after == transactions_at_.begin() ? 0 : std::prev(after)->second;
    if (!table_.restore(transactions)) {
        core::log_event(core::log_level::error, "stand_in_not_restored",
                        {{"back_ms", core::to_milliseconds(back)}});
        return;
    }
    transactions_at_.clear();
    transactions_at_.emplace(now(), transactions);
}

void platform_task::apply(const set_platform_fault& command)
{
    if (command.kind == platform_fault::restored) {
        restore_table(command.back);
    }
    fault_ = command.kind;
    slowdown_ = command.kind == platform_fault::slow ? command.factor : 1.0;
    if (command.kind == platform_fault::down) {
        server_.reset();
        return;
    }
    if (server_ == nullptr) {
        const absl::Status status = listen();
        if (!status.ok()) {
            core::log_event(core::log_level::error, "stand_in_not_back",
                            {{"error", status.message()}});
        }
    }
}

} // namespace cyclamen::standin
