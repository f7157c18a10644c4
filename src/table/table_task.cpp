#include "table/table_task.hpp"

#include "http/table_codec.hpp"

namespace cyclamen::table {

table_task::table_task(table_service_settings settings,
                       task::outbox_ptr<api::table_event> decisions, task::task_host* host)
    : basic_task{"platform", host}, settings_{std::move(settings)}, decisions_{std::move(decisions),
                                                                               loop()}
{
}

table_task::~table_task()
{
    stop();
}

absl::Status table_task::on_start()
{
    client_ = std::make_unique<http::client>(loop(), static_cast<http::client_listener&>(*this));
    return absl::OkStatus();
}

void table_task::on_stop()
{
    client_.reset();
}

void table_task::on_message(const api::table_command& command)
{
    if (!settings_.table.has_value()) {
        report_failure(command, false, "no address of a table service is configured");
        return;
    }
    last_exchange_ = last_exchange_.next();
    const http::exchange_id exchange = last_exchange_;
    const task::timer_id answer_timer =
        loop().run_after(settings_.answer_limit, [this, exchange] { on_answer_overdue(exchange); });
    exchanges_.emplace(exchange,
                       std::unique_ptr<exchange_state>{new exchange_state{command, answer_timer}});
    client_->start(exchange, *settings_.table, http::encode_table_command(command));
}

void table_task::on_head(http::exchange_id exchange, const http::response_head& head)
{
    exchanges_.at(exchange)->status = head.status;
}

void table_task::on_body(http::exchange_id exchange, std::string_view bytes)
{
    exchanges_.at(exchange)->body += bytes;
}

void table_task::on_end(http::exchange_id exchange, bool sent, const absl::Status& status)
{
    const auto ended = exchanges_.extract(exchange);
    const exchange_state& state = *ended.mapped();
    loop().cancel(state.answer_timer);
    if (status.ok()) {
        decisions_.send(http::decode_table_event(state.command, state.status, state.body));
        return;
    }
    report_failure(state.command, sent, std::string{status.message()});
}

void table_task::on_answer_overdue(http::exchange_id exchange)
{
    const auto ended = exchanges_.extract(exchange);
    client_->cancel(exchange);
    // The connection may have been established just before the timeout, so the request counts as
    // sent.
    report_failure(ended.mapped()->command, true, "request to the table service timed out");
}

void table_task::report_failure(const api::table_command& command, bool may_be_applied,
                                std::string detail)
{
    const bool writes = std::holds_alternative<api::table_commit>(command);
    decisions_.send(api::table_failed{http::table_request_of(command), writes && may_be_applied,
                                      std::move(detail)});
}

} // namespace cyclamen::table
