#include "http/status_task.hpp"

#include "core/text.hpp"
#include "http/status_codec.hpp"

namespace cyclamen::http {

namespace {

constexpr int status_ok = 200;

} // namespace

status_task::status_task(task::outbox_ptr<api::target_event> decisions, task::task_host* host)
    : basic_task{"status", host}, decisions_{std::move(decisions), loop()}
{
}

status_task::~status_task()
{
    stop();
}

absl::Status status_task::on_start()
{
    client_ = std::make_unique<client>(loop(), static_cast<client_listener&>(*this));
    return absl::OkStatus();
}

void status_task::on_message(const api::target_command& command)
{
    const auto& asked = std::get<api::ask_target>(command);
    ask(asked, question::load, std::string{load_path});
    ask(asked, question::cache, core::concat(cache_events_path, "?after=", asked.last_change));
}

void status_task::on_stop()
{
    client_.reset();
}

void status_task::ask(const api::ask_target& command, question asked, std::string path)
{
    if (!asked_.emplace(command.target, asked).second) {
        return;
    }
    last_exchange_ = last_exchange_.next();
    const exchange_id exchange = last_exchange_;
    const auto limit = loop().run_after(answer_limit, [this, exchange] {
        client_->cancel(exchange);
        give_up(exchange, "no answer in time");
    });
    exchanges_.emplace(exchange, exchange_state{command.target, asked, limit});
    client_->start(exchange, command.address, request{"GET", std::move(path), {}, ""});
}

void status_task::on_head(exchange_id exchange, const response_head& head)
{
    exchanges_.at(exchange).status = head.status;
}

void status_task::on_body(exchange_id exchange, std::string_view bytes)
{
    exchange_state& state = exchanges_.at(exchange);
    if (state.body.size() + bytes.size() <= most_answer_bytes) {
        state.body += bytes;
    }
}

void status_task::on_end(exchange_id exchange, bool /*sent*/, const absl::Status& status)
{
    const auto found = exchanges_.find(exchange);
    loop().cancel(found->second.limit);
    if (!status.ok()) {
        give_up(exchange, std::string{status.message()});
        return;
    }
    if (found->second.status == status_ok) {
        hand_on(found->second);
    }
    asked_.erase({found->second.target, found->second.asked});
    exchanges_.erase(found);
}

void status_task::hand_on(const exchange_state& answered)
{
    if (answered.asked == question::load) {
        auto told = decode_load(answered.body, answered.target);
        if (told.ok()) {
            decisions_.send(*std::move(told));
        }
        return;
    }
    const auto told = decode_cache_events(answered.body, answered.target);
    if (told.ok()) {
        for (const api::target_cache_change& each : *told) {
            decisions_.send(each);
        }
    }
}

void status_task::give_up(exchange_id exchange, const std::string& detail)
{
    const auto found = exchanges_.find(exchange);
    decisions_.send(api::target_query_failed{found->second.target, detail});
    asked_.erase({found->second.target, found->second.asked});
    exchanges_.erase(found);
}

} // namespace cyclamen::http
