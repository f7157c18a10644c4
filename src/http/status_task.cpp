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
    const auto& query = std::get<api::ask_target>(command);
    send_query(query, query_kind::load, std::string{load_path});
    send_query(query, query_kind::cache,
               core::concat(cache_events_path, "?after=", query.last_change));
}

void status_task::on_stop()
{
    client_.reset();
}

void status_task::send_query(const api::ask_target& command, query_kind kind, std::string path)
{
    if (!pending_.emplace(command.target, kind).second) {
        return;
    }
    last_exchange_ = last_exchange_.next();
    const exchange_id exchange = last_exchange_;
    const auto timer = loop().run_after(response_timeout, [this, exchange] {
        client_->cancel(exchange);
        report_unresponsive(exchange, "no response in time");
    });
    exchanges_.emplace(exchange, exchange_state{command.target, kind, timer});
    client_->start(exchange, command.address, request{"GET", std::move(path), {}, ""});
}

void status_task::on_head(exchange_id exchange, const response_head& head)
{
    exchanges_.at(exchange).status = head.status;
}

void status_task::on_body(exchange_id exchange, std::string_view bytes)
{
    exchange_state& state = exchanges_.at(exchange);
    if (state.body.size() + bytes.size() <= max_response_bytes) {
        state.body += bytes;
    }
}

void status_task::on_end(exchange_id exchange, bool /*sent*/, const absl::Status& status)
{
    const auto found = exchanges_.find(exchange);
    loop().cancel(found->second.timer);
    if (!status.ok()) {
        report_unresponsive(exchange, std::string{status.message()});
        return;
    }
    if (found->second.status == status_ok) {
        publish(found->second);
    }
    pending_.erase({found->second.target, found->second.kind});
    exchanges_.erase(found);
}

void status_task::publish(const exchange_state& response)
{
    if (response.kind == query_kind::load) {
        auto load = decode_load(response.body, response.target);
        if (load.ok()) {
            decisions_.send(*std::move(load));
        }
        return;
    }
    const auto changes = decode_cache_events(response.body, response.target);
    if (changes.ok()) {
        for (const api::target_cache_change& change : *changes) {
            decisions_.send(change);
        }
    }
}

void status_task::report_unresponsive(exchange_id exchange, const std::string& detail)
{
    const auto found = exchanges_.find(exchange);
    decisions_.send(api::target_query_failed{found->second.target, detail});
    pending_.erase({found->second.target, found->second.kind});
    exchanges_.erase(found);
}

} // namespace cyclamen::http
