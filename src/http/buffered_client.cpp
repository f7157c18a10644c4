#include "http/buffered_client.hpp"

#include "core/error.hpp"

namespace cyclamen::http {

buffered_client::buffered_client(task::event_loop& loop, const client_settings& connections,
                                 std::size_t max_response_bytes)
    : loop_{loop}, max_response_bytes_{max_response_bytes},
      client_{loop, static_cast<client_listener&>(*this), connections}
{
}

buffered_client::~buffered_client()
{
    for (const auto& [exchange, request] : pending_) {
        loop_.cancel(request->timer);
    }
}

exchange_id buffered_client::send(const core::socket_address& address, const request& sent,
                                  std::optional<core::duration> limit, callback on_response,
                                  std::function<void()> on_connected)
{
    last_exchange_ = last_exchange_.next();
    const exchange_id exchange = last_exchange_;
    auto opened = std::make_unique<open_request>();
    opened->on_response = std::move(on_response);
    opened->on_connected = std::move(on_connected);
    if (limit.has_value()) {
        opened->timer = loop_.run_after(*limit, [this, exchange] { on_limit(exchange); });
    }
    pending_.emplace(exchange, std::move(opened));
    client_.start(exchange, address, sent);
    return exchange;
}

void buffered_client::cancel(exchange_id exchange)
{
    if (const auto given_up = pending_.extract(exchange); !given_up.empty()) {
        loop_.cancel(given_up.mapped()->timer);
        client_.cancel(exchange);
    }
}

void buffered_client::on_connected(exchange_id exchange)
{
    const open_request& opened = *pending_.at(exchange);
    if (opened.on_connected) {
        opened.on_connected();
    }
}

void buffered_client::on_head(exchange_id exchange, const response_head& head)
{
    pending_.at(exchange)->head.emplace(head);
}

void buffered_client::on_body(exchange_id exchange, std::string_view bytes)
{
    std::string& body = pending_.at(exchange)->body;
    body += bytes;
    if (body.size() > max_response_bytes_) {
        client_.cancel(exchange);
        on_end(exchange, true,
               core::make_error(core::error_kind::unavailable, "the response is too long",
                                "try another target"));
    }
}

void buffered_client::on_end(exchange_id exchange, bool /*sent*/, const absl::Status& status)
{
    const std::unique_ptr<open_request> ended = std::move(pending_.extract(exchange).mapped());
    loop_.cancel(ended->timer);
    if (status.ok()) {
        ended->on_response(buffered_response{ended->head->get(), std::move(ended->body)});
    }
    else {
        ended->on_response(status);
    }
}

void buffered_client::on_limit(exchange_id exchange)
{
    client_.cancel(exchange);
    const std::unique_ptr<open_request> ended = std::move(pending_.extract(exchange).mapped());
    ended->on_response(absl::DeadlineExceededError("no response in time"));
}

} // namespace cyclamen::http
