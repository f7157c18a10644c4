#include "standin/engine_task.hpp"

#include <nlohmann/json.hpp>

#include "core/log.hpp"
#include "core/text.hpp"
#include "http/completion_codec.hpp"
#include "http/sse.hpp"
#include "http/status_codec.hpp"
#include "http/stream_codec.hpp"

namespace cyclamen::standin {

namespace {

using document = nlohmann::json;

constexpr std::size_t max_body_bytes = 64'000'000;

/// Time that a stream is kept without a connection, or after its end.
constexpr core::duration stream_retention = std::chrono::seconds{5};

http::response_head json_response_head(int status)
{
    return http::response_head{status, {{"content-type", "application/json"}}};
}

} // namespace

std::optional<fault_kind> parse_fault_kind(std::string_view text)
{
    static const std::map<std::string_view, fault_kind> kinds{
        {"none", fault_kind::none},      {"killed", fault_kind::killed},
        {"paused", fault_kind::paused},  {"silent", fault_kind::silent},
        {"slow", fault_kind::slow},      {"failing", fault_kind::failing},
        {"leaving", fault_kind::leaving}};
    const auto found = kinds.find(text);
    if (found == kinds.end()) {
        return std::nullopt;
    }
    return found->second;
}

engine_task::engine_task(engine_settings settings)
    : basic_task{"stand-in engine"}, settings_{std::move(settings)}, model_{settings_},
      streams_{stream_retention}
{
}

engine_task::~engine_task()
{
    stop();
}

absl::Status engine_task::on_start()
{
    return listen();
}

absl::Status engine_task::listen()
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

void engine_task::on_message(const set_fault& command)
{
    apply(command);
}

void engine_task::on_stop()
{
    server_.reset();
}

void engine_task::on_request(http::exchange_id exchange, const http::request& request)
{
    if (request.path == "/admin/fault") {
        on_fault_request(exchange, request);
    }
    else if (request.path == "/admin/stats") {
        send_stats(exchange);
    }
    else if (fault_ == fault_kind::paused) {
        // The request stays unanswered until the connection ends.
        return;
    }
    else if (fault_ == fault_kind::failing) {
        send_error(exchange, 500, "the engine fails because the fault `failing` is set");
    }
    else if (answer_status(exchange, request)) {
        return;
    }
    else if (request.method == "POST" && request.path == "/v1/completions") {
        if (fault_ == fault_kind::leaving) {
            send_error(exchange, 503, "the engine is leaving and accepts no new work");
            return;
        }
        on_completion(exchange, request);
    }
    else if (request.path.starts_with("/v1/streams/")) {
        on_stream_query(exchange, request);
    }
    else {
        send_error(exchange, 404, "unknown path");
    }
}

void engine_task::on_disconnect(http::exchange_id exchange)
{
    if (const auto closed = streams_.close_connection(exchange)) {
        model_.cancel(*closed);
        set_timer();
    }
}

void engine_task::on_completion(http::exchange_id exchange, const http::request& request)
{
    const document body = document::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("prompt") || !body["prompt"].is_string()) {
        send_error(exchange, 400, "the request body has no string `prompt`");
        return;
    }
    status_.record_prompt(body["prompt"].get<std::string>(), now());
    last_stream_ = last_stream_.next();
    streams_.open(last_stream_, std::string{request.find_header(http::stream_name_header)},
                  exchange);
    model_.open(last_stream_, body["prompt"].get<std::string>(),
                body.value("max_tokens", std::uint64_t{16}), now());
    server_->send_head(exchange, {200, {{"content-type", "text/event-stream"}}});
    set_timer();
}

void engine_task::on_stream_query(http::exchange_id exchange, const http::request& request)
{
    const auto query = http::decode_stream_query(request.path);
    if (!query.has_value()) {
        send_error(exchange, 400, "expected a stream name, and a number after `after=`");
        return;
    }
    if (request.method == "DELETE") {
        if (const auto cancelled = streams_.cancel(query->stream)) {
            model_.cancel(*cancelled);
            set_timer();
        }
        server_->respond(exchange, json_response_head(200), "{}");
        return;
    }
    const auto rest = streams_.resume(query->stream, query->after, exchange);
    if (!rest.has_value()) {
        send_error(exchange, 404, "unknown stream, or `after` is past its last token");
        return;
    }
    server_->send_head(exchange, {200, {{"content-type", "text/event-stream"}}});
    send_tokens(exchange, rest->tokens, rest->ended);
}

void engine_task::on_fault_request(http::exchange_id exchange, const http::request& request)
{
    const document body = document::parse(request.body, nullptr, false);
    const auto kind = body.is_object() ? parse_fault_kind(body.value("kind", "")) : std::nullopt;
    if (!kind.has_value()) {
        send_error(exchange, 400,
                   "unknown `kind`: use none, killed, paused, silent, slow, failing or leaving");
        return;
    }
    server_->respond(exchange, json_response_head(200), "{}");
    const set_fault command{*kind, body.value("factor", 1.0)};
    // Leaves time to send the answer before the fault starts.
    loop().run_after(std::chrono::milliseconds{10}, [this, command] { apply(command); });
}

void engine_task::send_stats(http::exchange_id exchange)
{
    const document body{{"running", model_.running()},
                        {"tokens_decoded", model_.tokens_decoded()},
                        {"words_prefilled", model_.words_prefilled()}};
    server_->respond(exchange, json_response_head(200), body.dump());
}

bool engine_task::answer_status(http::exchange_id exchange, const http::request& request)
{
    if (request.path == http::load_path) {
        const auto load = status_.load(fault_ == fault_kind::leaving, now());
        server_->respond(exchange, json_response_head(200), http::encode_load(load));
        return true;
    }
    std::string_view query = request.path;
    if (!core::consume_prefix(query, http::cache_events_path)) {
        return false;
    }
    core::consume_prefix(query, "?after=");
    const auto after = core::parse_number<std::uint64_t>(query).value_or(0);
    server_->respond(exchange, json_response_head(200),
                     http::encode_cache_events(status_.cache_events(after, now())));
    return true;
}

void engine_task::send_error(http::exchange_id exchange, int status, std::string_view message)
{
    const document body{{"error", {{"message", message}}}};
    server_->respond(exchange, json_response_head(status), body.dump());
}

void engine_task::apply(const set_fault& command)
{
    core::log_event(
        core::log_level::debug, "stand_in_fault",
        {{"listen", core::to_string(settings_.listen)}, {"kind", static_cast<int>(command.kind)}});
    fault_ = command.kind;
    model_.set_slowdown(command.kind == fault_kind::slow ? command.factor : 1.0);
    if (command.kind == fault_kind::killed) {
        model_.clear();
        status_.clear();
        streams_.clear();
        server_.reset();
    }
    else if (command.kind == fault_kind::silent) {
        streams_.detach_connections(now());
    }
    if (command.kind != fault_kind::killed && server_ == nullptr) {
        const absl::Status status = listen();
        if (!status.ok()) {
            core::log_event(core::log_level::error, "stand_in_not_back",
                            {{"error", status.message()}});
        }
    }
    set_timer();
}

void engine_task::produce_tokens()
{
    const std::vector<produced_token> produced = model_.advance(now());
    for (const produced_token& token : produced) {
        if (const auto connection = streams_.append(token, now())) {
            send_tokens(*connection, {token.token}, token.last);
        }
    }
    for (const stream_id expired : streams_.remove_expired(now())) {
        model_.cancel(expired);
    }
}

void engine_task::send_tokens(http::exchange_id exchange, const std::vector<std::string>& tokens,
                              bool last)
{
    std::string text;
    for (const std::string& token : tokens) {
        text += http::encode_sse(
            {"", http::encode_chunk(http::completion_form::text, "stand-in", token)});
    }
    if (last) {
        text += http::encode_sse({"", std::string{http::done_marker}});
    }
    send_delayed(exchange, std::move(text), last);
}

std::optional<core::instant> engine_task::next_deadline() const
{
    const auto token = model_.next_token_at();
    const auto expiry = streams_.next_expiry();
    return token.has_value() && expiry.has_value() ? std::min(token, expiry)
           : token.has_value()                     ? token
                                                   : expiry;
}

void engine_task::send_delayed(http::exchange_id exchange, std::string text, bool last)
{
    if (settings_.link_delay == core::duration::zero()) {
        server_->send(exchange, text, last);
        return;
    }
    loop().run_after(settings_.link_delay, [this, exchange, text = std::move(text), last] {
        if (server_ != nullptr) {
            server_->send(exchange, text, last);
        }
    });
}

void engine_task::set_timer()
{
    status_.on_running_count(model_.running(), now());
    const auto deadline =
        fault_ == fault_kind::paused ? std::optional<core::instant>{} : next_deadline();
    if (deadline == timer_deadline_) {
        return;
    }
    loop().cancel(timer_);
    timer_deadline_ = deadline;
    if (deadline.has_value()) {
        timer_ = loop().run_at(*deadline, [this] {
            timer_deadline_.reset();
            produce_tokens();
            set_timer();
        });
    }
}

} // namespace cyclamen::standin
