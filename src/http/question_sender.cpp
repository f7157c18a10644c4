#include "http/question_sender.hpp"

namespace cyclamen::http {

question_sender::question_sender(task::event_loop& loop, const client_settings& connections)
    : loop_{loop}, client_{loop, static_cast<client_listener&>(*this), connections}
{
}

question_sender::~question_sender()
{
    for (const auto& [exchange, question] : questions_) {
        loop_.cancel(question->timer);
    }
}

exchange_id question_sender::ask(const core::socket_address& address, const request& asked,
                                 std::optional<core::duration> limit, listener heard)
{
    last_exchange_ = last_exchange_.next();
    const exchange_id exchange = last_exchange_;
    auto opened = std::make_unique<open_question>();
    opened->heard = std::move(heard);
    if (limit.has_value()) {
        opened->timer = loop_.run_after(*limit, [this, exchange] { on_limit(exchange); });
    }
    questions_.emplace(exchange, std::move(opened));
    client_.start(exchange, address, asked);
    return exchange;
}

void question_sender::cancel(exchange_id question)
{
    if (const auto given_up = questions_.extract(question); !given_up.empty()) {
        loop_.cancel(given_up.mapped()->timer);
        client_.cancel(question);
    }
}

void question_sender::on_head(exchange_id exchange, const response_head& head)
{
    questions_.at(exchange)->head.emplace(head);
}

void question_sender::on_body(exchange_id exchange, std::string_view bytes)
{
    questions_.at(exchange)->body += bytes;
}

void question_sender::on_end(exchange_id exchange, bool /*sent*/, const absl::Status& status)
{
    const std::unique_ptr<open_question> ended = std::move(questions_.extract(exchange).mapped());
    loop_.cancel(ended->timer);
    if (status.ok()) {
        ended->heard(question_answer{ended->head->get(), std::move(ended->body)});
    }
    else {
        ended->heard(status);
    }
}

void question_sender::on_limit(exchange_id exchange)
{
    client_.cancel(exchange);
    const std::unique_ptr<open_question> ended = std::move(questions_.extract(exchange).mapped());
    ended->heard(absl::DeadlineExceededError("no answer in time"));
}

} // namespace cyclamen::http
