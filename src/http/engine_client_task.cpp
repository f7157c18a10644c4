#include "http/engine_client_task.hpp"

#include <algorithm>
#include <random>

#include "core/text.hpp"
#include "http/completion_codec.hpp"
#include "http/stream_codec.hpp"

namespace cyclamen::http {

namespace {

constexpr int status_ok = 200;
constexpr int status_too_many_requests = 429;
constexpr int status_unavailable = 503;

/// Time limit of the request that cancels a stream at an engine.
constexpr core::duration cancel_timeout = std::chrono::seconds{2};

api::loss_kind loss_of(bool sent, int status)
{
    if (!sent) {
        return api::loss_kind::not_connected;
    }
    if (status == status_too_many_requests || status == status_unavailable) {
        return api::loss_kind::engine_busy;
    }
    return status == 0 || status == status_ok ? api::loss_kind::connection_lost
                                              : api::loss_kind::engine_error;
}

/// @return prefix of stream names, unique to this incarnation of the instance
std::string make_stream_prefix()
{
    std::random_device source;
    return core::concat(source(), "-", source());
}

} // namespace

engine_client_task::engine_client_task(task::outbox_ptr<api::engine_event> decisions,
                                       task::task_host* host)
    : basic_task{"back", host}, decisions_{std::move(decisions), loop()}, stream_prefix_{
                                                                              make_stream_prefix()}
{
}

engine_client_task::~engine_client_task()
{
    stop();
}

absl::Status engine_client_task::on_start()
{
    client_ = std::make_unique<client>(loop(), static_cast<client_listener&>(*this));
    return absl::OkStatus();
}

void engine_client_task::on_message(const api::engine_command& command)
{
    std::visit([this](const auto& message) { handle(message); }, command);
}

void engine_client_task::on_stop()
{
    client_.reset();
}

void engine_client_task::handle(const api::open_attempt& command)
{
    std::string stream = core::concat(stream_prefix_, "-", command.attempt.generation.value(), "-",
                                      command.attempt.number.value());
    const request sent = with_stream_name(encode_attempt(command), stream);
    const exchange_id exchange = connect(command.attempt, command.first, command.address, sent);
    attempts_.emplace(command.attempt,
                      attempt_state{command.address, std::move(stream), command.first,
                                    command.first, exchange, std::nullopt});
}

void engine_client_task::handle(const api::cancel_attempt& command)
{
    const auto found = attempts_.find(command.attempt);
    if (found != attempts_.end()) {
        // An engine whose connection is unresponsive may not notice that it was closed, so that it
        // is also asked over another connection to drop the stream.
        cancel_at_engine(found->second);
        close_attempt(command.attempt);
    }
}

void engine_client_task::handle(const api::probe_attempt& command)
{
    const auto found = attempts_.find(command.attempt);
    if (found == attempts_.end()) {
        return;
    }
    attempt_state& state = found->second;
    close_exchange(state.probe);
    state.probe = connect(command.attempt, state.next, state.address,
                          encode_stream_resume(state.stream, state.next - state.first));
}

void engine_client_task::on_head(exchange_id exchange, const response_head& head)
{
    const auto found = connections_.find(exchange);
    if (found == connections_.end()) {
        return;
    }
    found->second.status = head.status;
    const api::attempt_id attempt = found->second.attempt;
    attempt_state& state = attempts_.at(attempt);
    if (state.probe == exchange && head.status == status_ok) {
        close_exchange(state.current);
        state.current = state.probe;
        state.probe.reset();
        decisions_.send(api::attempt_alive{attempt});
    }
}

void engine_client_task::on_body(exchange_id exchange, std::string_view bytes)
{
    const auto found = connections_.find(exchange);
    if (found == connections_.end() || found->second.status != status_ok) {
        return;
    }
    connection_state& state = found->second;
    state.reader.feed(bytes, [&](const sse_event& event) { read_event(state, event); });
    if (state.new_tokens.empty()) {
        return;
    }
    const std::uint64_t first = state.next;
    state.next += state.new_tokens.size();
    std::uint64_t& delivered = attempts_.at(state.attempt).next;
    delivered = std::max(delivered, state.next);
    decisions_.send(api::attempt_tokens{state.attempt, first, std::move(state.new_tokens)});
    state.new_tokens.clear();
}

void engine_client_task::read_event(connection_state& state, const sse_event& event)
{
    if (event.data == done_marker) {
        state.finished = true;
        return;
    }
    auto token = decode_chunk(event.data);
    if (!token.ok()) {
        state.error = std::string{token.status().message()};
    }
    else if (!token->empty()) {
        state.new_tokens.push_back(*std::move(token));
    }
}

void engine_client_task::on_end(exchange_id exchange, bool sent, const absl::Status& status)
{
    const auto ended = connections_.extract(exchange);
    if (ended.empty()) {
        return;
    }
    const connection_state& connection = ended.mapped();
    attempt_state& state = attempts_.at(connection.attempt);
    if (connection.finished && connection.error.empty()) {
        decisions_.send(api::attempt_finished{connection.attempt});
        close_attempt(connection.attempt);
        return;
    }
    const std::string detail =
        !connection.error.empty() ? connection.error
        : !status.ok()            ? std::string{status.message()}
                       : core::concat("status ", connection.status, ", stream incomplete");
    if (state.probe == exchange) {
        // The probe failed. The attempt counts as sent, as the engine has received the request.
        report_loss(connection.attempt, loss_of(true, connection.status),
                    core::concat("unresponsive, and the probe failed: ", detail));
    }
    else if (state.probe.has_value()) {
        state.current.reset();
    }
    else {
        report_loss(connection.attempt, loss_of(sent, connection.status), detail);
    }
}

exchange_id engine_client_task::connect(const api::attempt_id& attempt, std::uint64_t next,
                                        const core::socket_address& address, const request& sent)
{
    last_exchange_ = last_exchange_.next();
    connections_.emplace(last_exchange_, connection_state{attempt, next});
    client_->start(last_exchange_, address, sent);
    return last_exchange_;
}

void engine_client_task::cancel_at_engine(const attempt_state& cancelled)
{
    last_exchange_ = last_exchange_.next();
    const exchange_id exchange = last_exchange_;
    client_->start(exchange, cancelled.address, encode_stream_cancel(cancelled.stream));
    loop().run_after(cancel_timeout, [this, exchange] { client_->cancel(exchange); });
}

void engine_client_task::report_loss(const api::attempt_id& attempt, api::loss_kind kind,
                                     const std::string& detail)
{
    decisions_.send(api::attempt_lost{attempt, kind, detail});
    close_attempt(attempt);
}

void engine_client_task::close_attempt(const api::attempt_id& attempt)
{
    const auto found = attempts_.find(attempt);
    close_exchange(found->second.current);
    close_exchange(found->second.probe);
    attempts_.erase(found);
}

void engine_client_task::close_exchange(std::optional<exchange_id>& exchange)
{
    if (exchange.has_value()) {
        client_->cancel(*exchange);
        connections_.erase(*exchange);
        exchange.reset();
    }
}

} // namespace cyclamen::http
