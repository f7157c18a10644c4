#include "http/request_task.hpp"

#include "core/text.hpp"
#include "task/channel.hpp"

namespace cyclamen::http {

request_task::request_task(task::outbox_ptr<request_result> results)
    : basic_task{"requests"}, results_{std::move(results)}
{
}

request_task::~request_task()
{
    stop();
}

absl::Status request_task::on_start()
{
    client_listener& listener = *this;
    client_ = std::make_unique<client>(loop(), listener);
    return absl::OkStatus();
}

void request_task::on_message(const send_request& message)
{
    exchanges_.emplace(message.exchange, exchange_state{});
    client_->start(message.exchange, message.address, message.sent);
}

void request_task::on_stop()
{
    client_.reset();
}

void request_task::on_head(exchange_id exchange, const response_head& head)
{
    exchanges_.at(exchange).status = head.status;
}

void request_task::on_body(exchange_id exchange, std::string_view bytes)
{
    exchanges_.at(exchange).body.append(bytes);
}

void request_task::on_end(exchange_id exchange, bool /*sent*/, const absl::Status& status)
{
    const auto found = exchanges_.find(exchange);
    const absl::Status posted = results_->post(request_result{
        exchange, found->second.status, found->second.body, std::string{status.message()}});
    static_cast<void>(posted);
    exchanges_.erase(found);
}

absl::StatusOr<request_result> fetch(const core::socket_address& address, const request& sent,
                                     core::duration timeout)
{
    const auto results = std::make_shared<task::channel<request_result>>();
    request_task requests{results};
    absl::Status status = requests.start();
    if (status.ok()) {
        status = requests.inbox()->post(send_request{exchange_id{1}, address, sent});
    }
    const auto result = status.ok() ? results->take(timeout) : std::nullopt;
    requests.stop();
    if (!status.ok()) {
        return status;
    }
    if (!result.has_value()) {
        return core::make_error(core::error_kind::deadline_exceeded,
                                core::concat("no response from ", core::to_string(address)),
                                "name another instance, or check that this one is running");
    }
    if (!result->error.empty()) {
        return core::make_error(
            core::error_kind::unavailable,
            core::concat("no response from ", core::to_string(address), ": ", result->error),
            "name another instance, or check that this one is running");
    }
    return *result;
}

} // namespace cyclamen::http
