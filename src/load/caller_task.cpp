#include "load/caller_task.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "core/text.hpp"
#include "http/completion_codec.hpp"

namespace cyclamen::load {

namespace {

using document = nlohmann::json;

http::request encode(const send_generation& command)
{
    const document body{{"model", command.model},
                        {"prompt", command.prompt},
                        {"max_tokens", command.max_tokens},
                        {"stream", command.streaming}};
    std::vector<http::header> headers{{"content-type", "application/json"},
                                      {"authorization", core::concat("Bearer ", command.bearer)}};
    if (!command.key.empty()) {
        headers.push_back({"idempotency-key", command.key});
    }
    if (!command.last_event_id.empty()) {
        headers.push_back({"last-event-id", command.last_event_id});
    }
    return http::request{"POST", "/v1/completions", std::move(headers), body.dump()};
}

} // namespace

caller_task::caller_task(task::outbox_ptr<generation_result> results)
    : basic_task{"callers"}, results_{std::move(results)}
{
}

caller_task::~caller_task()
{
    stop();
}

absl::Status caller_task::on_start()
{
    client_ = std::make_unique<http::client>(loop(), static_cast<http::client_listener&>(*this));
    return absl::OkStatus();
}

void caller_task::on_message(const send_generation& command)
{
    last_exchange_ = last_exchange_.next();
    calls_.emplace(last_exchange_, call_state{command.number, command.streaming, now()});
    client_->start(last_exchange_, command.instance, encode(command));
}

void caller_task::on_stop()
{
    client_.reset();
}

void caller_task::on_head(http::exchange_id exchange, const http::response_head& head)
{
    calls_.at(exchange).status = head.status;
}

void caller_task::on_body(http::exchange_id exchange, std::string_view bytes)
{
    call_state& call = calls_.at(exchange);
    if (call.streaming && call.status == 200) {
        call.reader.feed(bytes, [&](const http::sse_event& event) { handle_event(call, event); });
    }
    else {
        call.body.append(bytes);
    }
}

void caller_task::handle_event(call_state& call, const http::sse_event& event)
{
    if (event.data == http::done_marker) {
        call.complete = true;
        return;
    }
    call.attempts = std::max(call.attempts, http::decode_attempts(event.data));
    const auto text = http::decode_chunk(event.data);
    if (!text.ok()) {
        call.error = event.data;
    }
    else if (!text->empty()) {
        record_chunk(call);
        call.text += *text;
        call.last_event_id = event.id;
    }
}

void caller_task::record_chunk(call_state& call)
{
    const core::instant current = now();
    if (call.text.empty()) {
        call.first_token = current - call.sent_at;
        call.first_chunk_at = current;
    }
    else {
        call.longest_gap = std::max(call.longest_gap, current - call.last_chunk_at);
    }
    call.last_chunk_at = current;
    ++call.chunks;
}

core::duration caller_task::mean_gap(const call_state& call)
{
    // The longest gap is left out, as it may contain an interruption.
    constexpr std::uint64_t min_chunks = 3;
    if (call.chunks < min_chunks) {
        return core::duration::zero();
    }
    return (call.last_chunk_at - call.first_chunk_at - call.longest_gap) / (call.chunks - 2);
}

void caller_task::parse_response_body(call_state& call)
{
    const document body = document::parse(call.body, nullptr, false);
    if (call.status == 200 && body.is_object() && body.contains("choices")) {
        record_chunk(call);
        call.text = body["choices"][0].value("text", std::string{});
        call.attempts = http::decode_attempts(call.body);
        call.complete = true;
    }
    else {
        call.error = call.body;
    }
}

void caller_task::on_end(http::exchange_id exchange, bool /*sent*/, const absl::Status& status)
{
    const auto found = calls_.find(exchange);
    call_state& call = found->second;
    if (!call.streaming || call.status != 200) {
        parse_response_body(call);
    }
    if (!status.ok() && call.error.empty()) {
        call.error = std::string{status.message()};
    }
    const absl::Status posted = results_->post(generation_result{
        call.number, call.status, call.text, call.complete, call.error, call.first_token,
        now() - call.sent_at, call.longest_gap, mean_gap(call), call.first_chunk_at,
        call.last_chunk_at, call.last_event_id, call.attempts});
    static_cast<void>(posted);
    calls_.erase(found);
}

} // namespace cyclamen::load
