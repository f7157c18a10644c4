#include "http/front_task.hpp"

#include <nlohmann/json.hpp>

#include "core/text.hpp"
#include "http/operator_codec.hpp"
#include "http/service_codec.hpp"

namespace cyclamen::http {

namespace {

constexpr int status_unavailable = 503;
constexpr core::duration idle_check_interval = std::chrono::milliseconds{20};

core::caller_id to_caller(exchange_id exchange)
{
    return core::caller_id{exchange.value()};
}

exchange_id to_exchange(core::caller_id caller)
{
    return exchange_id{caller.value()};
}

response_head json_head(int status)
{
    return response_head{status, {{"content-type", "application/json"}}};
}

response_head stream_head()
{
    return response_head{200,
                         {{"content-type", "text/event-stream"}, {"cache-control", "no-store"}}};
}

} // namespace

front_task::front_task(front_settings settings, task::outbox_ptr<api::front_event> decisions,
                       task::task_host* host)
    : basic_task{"front", host}, settings_{std::move(settings)}, decisions_{std::move(decisions),
                                                                            loop()}
{
}

front_task::~front_task()
{
    stop();
}

absl::Status front_task::on_start()
{
    auto listening = server::listen(
        loop(), settings_.listen,
        server_settings{.messages = message_limits{.max_body_bytes = settings_.max_body_bytes},
                        .max_connections = settings_.max_connections},
        *this);
    if (!listening.ok()) {
        return listening.status();
    }
    server_ = *std::move(listening);
    return absl::OkStatus();
}

void front_task::on_message(const api::front_command& command)
{
    std::visit([this](const auto& message) { handle(message); }, command);
}

void front_task::on_stop()
{
    fail_open_requests();
    server_.reset();
}

void front_task::on_request(exchange_id exchange, const request& received)
{
    const std::string path = received.path.substr(0, received.path.find('?'));
    if (received.method == "POST" && path == "/v1/completions") {
        on_completion(exchange, received, completion_form::text);
    }
    else if (received.method == "POST" && path == "/v1/chat/completions") {
        on_completion(exchange, received, completion_form::chat);
    }
    else if (path.starts_with(services_prefix)) {
        on_call(exchange, received);
    }
    else if (received.method == "GET" && path == "/v1/instances") {
        decisions_.send(api::instance_query{to_caller(exchange)});
    }
    else if (received.method == "GET" && path == "/metrics") {
        decisions_.send(api::metrics_query{to_caller(exchange)});
    }
    else if (received.method == "GET" && path == "/healthz") {
        answer_health(exchange);
    }
    else if (path.starts_with(operator_path)) {
        on_operator_request(exchange, received);
    }
    else {
        reject(exchange,
               core::to_failure(
                   core::make_error(core::error_kind::not_found,
                                    core::concat("unknown path: ", received.method, " ", path),
                                    "see docs/OPERATIONS.md for the paths"),
                   true));
    }
}

void front_task::on_disconnect(exchange_id exchange)
{
    callers_.erase(to_caller(exchange));
    calls_.erase(exchange);
    decisions_.send(api::caller_gone{to_caller(exchange)});
}

void front_task::on_completion(exchange_id exchange, const request& received, completion_form form)
{
    if (admission_.get().refusal.has_value()) {
        reject(exchange, *admission_.get().refusal);
        return;
    }
    const auto decoded = decode_generation_request(to_caller(exchange), received, form);
    if (!decoded.ok()) {
        reject(exchange, core::to_failure(decoded.status(), true));
        return;
    }
    callers_.insert_or_assign(
        to_caller(exchange),
        caller_state{form, decoded->service.str(), decoded->streaming, false, {}});
    decisions_.send(*decoded);
}

void front_task::on_call(exchange_id exchange, const request& received)
{
    const api::admission& current = admission_.get();
    if (current.notify_when_idle && current.refusal.has_value()) {
        reject(exchange, *current.refusal);
        return;
    }
    const auto decoded = decode_call_request(to_caller(exchange), received);
    if (!decoded.ok()) {
        reject(exchange, core::to_failure(decoded.status(), true));
        return;
    }
    calls_.insert(exchange);
    decisions_.send(*decoded);
}

void front_task::reject(exchange_id exchange, const core::failure& reason)
{
    response_head head = json_head(http_status_of(reason.kind));
    if (reason.retry_after > core::duration::zero()) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(reason.retry_after).count();
        server_->respond(exchange,
                         response_head{head.status,
                                       {{"content-type", "application/json"},
                                        {"retry-after", core::concat(seconds)}}},
                         encode_error(reason));
        return;
    }
    server_->respond(exchange, head, encode_error(reason));
}

void front_task::fail_open_requests()
{
    const core::failure reason = core::to_failure(
        core::make_error(core::error_kind::outcome_unknown,
                         "the instance has ended before the request was answered",
                         "query the service, or send the request again if it may run twice"),
        false);
    for (const auto& [caller, state] : callers_) {
        if (!state.head_sent) {
            reject(to_exchange(caller), reason);
        }
    }
    for (const exchange_id call : calls_) {
        reject(call, reason);
    }
    callers_.clear();
    calls_.clear();
}

void front_task::handle(const api::answer_tokens& answer)
{
    const auto found = callers_.find(answer.caller);
    if (found == callers_.end()) {
        return;
    }
    caller_state& caller = found->second;
    const std::string text = core::join(answer.tokens, "");
    if (!caller.streaming) {
        caller.buffered_text += text;
        return;
    }
    const exchange_id exchange = to_exchange(answer.caller);
    if (!caller.head_sent) {
        server_->send_head(exchange, stream_head());
        caller.head_sent = true;
    }
    // The event id holds the number of tokens that the caller has after this event.
    const std::uint64_t held = answer.first + answer.tokens.size();
    server_->send(exchange,
                  encode_sse({encode_event_id(answer.branch, held),
                              encode_chunk(caller.form, caller.model, text)}),
                  false);
}

void front_task::handle(const api::answer_complete& answer)
{
    const auto found = callers_.find(answer.caller);
    if (found == callers_.end()) {
        return;
    }
    const caller_state& caller = found->second;
    const exchange_id exchange = to_exchange(answer.caller);
    const usage used{answer.token_count, answer.attempts};
    if (caller.streaming) {
        if (!caller.head_sent) {
            server_->send_head(exchange, stream_head());
        }
        server_->send(
            exchange,
            core::concat(encode_sse({"", encode_final_chunk(caller.form, caller.model, used)}),
                         encode_sse({"", std::string{done_marker}})),
            true);
    }
    else {
        server_->respond(exchange, json_head(200),
                         encode_completion(caller.form, caller.model, caller.buffered_text, used));
    }
    callers_.erase(found);
}

void front_task::handle(const api::answer_failed& answer)
{
    const auto found = callers_.find(answer.caller);
    if (found == callers_.end()) {
        return;
    }
    const exchange_id exchange = to_exchange(answer.caller);
    if (found->second.head_sent) {
        // The stream ends with an error event and without the final event, so that what was sent
        // can't be taken for the complete answer.
        server_->send(exchange, encode_sse({"", encode_error(answer.reason)}), true);
    }
    else {
        reject(exchange, answer.reason);
    }
    callers_.erase(found);
}

void front_task::handle(const api::instance_answer& answer)
{
    nlohmann::json alternates = nlohmann::json::array();
    for (const core::socket_address& address : answer.alternates) {
        alternates.push_back(core::to_string(address));
    }
    const nlohmann::json body{{"use", core::to_string(answer.use)},
                              {"keep_s", core::to_seconds(answer.keep)},
                              {"alternates", alternates}};
    server_->respond(to_exchange(answer.caller), json_head(200), body.dump());
}

void front_task::handle(const api::metrics_answer& answer)
{
    server_->respond(to_exchange(answer.caller),
                     response_head{200, {{"content-type", "text/plain; version=0.0.4"}}},
                     answer.text);
}

void front_task::handle(const api::admission& admission)
{
    admission_.set(admission);
    if (admission.notify_when_idle) {
        report_when_idle();
    }
}

void front_task::on_operator_request(exchange_id exchange, const request& received)
{
    const auto decoded = decode_operator_request(to_caller(exchange), received);
    if (!decoded.ok()) {
        reject(exchange, core::to_failure(decoded.status(), true));
        return;
    }
    decisions_.send(*decoded);
}

void front_task::handle(const api::operator_answer& answer)
{
    std::visit([this](const auto& message) { handle(message); }, answer);
}

void front_task::handle(const api::operator_refusal& refusal)
{
    reject(to_exchange(refusal.caller), refusal.reason);
}

template <class Answer>
void front_task::handle(const Answer& answer)
{
    server_->respond(to_exchange(answer.caller), json_head(200), encode_answer(answer));
}

void front_task::answer_health(exchange_id exchange)
{
    const api::admission& current = admission_.get();
    const std::string status = current.refusal.has_value() ? current.state : "ok";
    server_->respond(exchange, json_head(current.refusal.has_value() ? status_unavailable : 200),
                     nlohmann::json{{"status", status}}.dump());
}

void front_task::report_when_idle()
{
    if (server_->open_exchanges() == 0) {
        decisions_.send(api::work_finished{});
        return;
    }
    loop().run_after(idle_check_interval, [this] { report_when_idle(); });
}

void front_task::handle(const api::call_answer& answer)
{
    calls_.erase(to_exchange(answer.caller));
    server_->respond(to_exchange(answer.caller), to_head(answer.response), answer.response.body);
}

void front_task::handle(const api::call_failed& answer)
{
    calls_.erase(to_exchange(answer.caller));
    reject(to_exchange(answer.caller), answer.reason);
}

} // namespace cyclamen::http
