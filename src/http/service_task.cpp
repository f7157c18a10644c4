#include "http/service_task.hpp"

#include "core/error.hpp"
#include "core/text.hpp"
#include "http/service_codec.hpp"

namespace cyclamen::http {

namespace {

/// Maximum size of a response body, which bounds the memory of a call.
constexpr std::size_t max_response_bytes = 8 * 1024 * 1024;

} // namespace

service_task::service_task(task::outbox_ptr<api::service_event> decisions, task::task_host* host)
    : basic_task{"services", host}, decisions_{std::move(decisions), loop()}
{
}

service_task::~service_task()
{
    stop();
}

absl::Status service_task::on_start()
{
    client_ = std::make_unique<client>(loop(), static_cast<client_listener&>(*this));
    return absl::OkStatus();
}

void service_task::on_message(const api::service_command& command)
{
    std::visit([this](const auto& message) { handle(message); }, command);
}

void service_task::on_stop()
{
    client_.reset();
}

void service_task::handle(const api::open_call& command)
{
    last_exchange_ = last_exchange_.next();
    calls_.emplace(last_exchange_, call_state{command.attempt, nullptr, {}});
    exchanges_.emplace(command.attempt, last_exchange_);
    client_->start(last_exchange_, command.address, encode_call(command));
}

void service_task::handle(const api::cancel_call& command)
{
    const auto found = exchanges_.extract(command.attempt);
    if (!found.empty()) {
        client_->cancel(found.mapped());
        calls_.erase(found.mapped());
    }
}

void service_task::on_head(exchange_id exchange, const response_head& head)
{
    call_state& state = calls_.at(exchange);
    state.head = std::make_unique<response_head>(head);
    decisions_.send(api::call_sent{state.attempt});
}

void service_task::on_body(exchange_id exchange, std::string_view bytes)
{
    std::string& body = calls_.at(exchange).body;
    body += bytes;
    if (body.size() > max_response_bytes) {
        client_->cancel(exchange);
        on_end(exchange, true,
               core::make_error(core::error_kind::unavailable, "the response is too long",
                                "try another target"));
    }
}

void service_task::on_end(exchange_id exchange, bool sent, const absl::Status& status)
{
    auto ended = calls_.extract(exchange);
    call_state& state = ended.mapped();
    exchanges_.erase(state.attempt);
    if (status.ok() && state.head != nullptr) {
        decisions_.send(api::call_answered{
            state.attempt,
            api::service_response{state.head->status, end_to_end_headers(state.head->headers),
                                  std::move(state.body)}});
        return;
    }
    decisions_.send(api::call_lost{state.attempt, sent, std::string{status.message()}});
}

} // namespace cyclamen::http
