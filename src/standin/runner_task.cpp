#include "standin/runner_task.hpp"

#include <charconv>

#include <nlohmann/json.hpp>

#include "core/hash.hpp"
#include "core/log.hpp"
#include "core/text.hpp"

namespace cyclamen::standin {

namespace {

using document = nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_misdirected = 421;
constexpr int status_failed = 500;
constexpr int status_unavailable = 503;
constexpr std::string_view copy_path = "/stand-in-copy/";

constexpr std::string_view id_field = "x-cyclamencourse-request-id";
constexpr std::string_view seal_field = "x-cyclamencourse-response-seal";

std::uint64_t to_number(std::string_view text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

/// What of a request decides its answer: the last part of its prompt, else its id.
std::string seed_of(const http::request& received)
{
    const std::string_view parts = received.find_header("x-cyclamencourse-prompt-prefix");
    return std::string{parts.empty() ? received.find_header(id_field) : parts};
}

} // namespace

std::string content_of(std::string_view seed, std::uint64_t number)
{
    return core::concat(core::hash_of(seed, number));
}

runner_task::runner_task(runner_settings settings, task::outbox_ptr<runner_report> observer,
                         task::outbox_ptr<row_store_message> store)
    : basic_task{"stand-in runner"}, settings_{std::move(settings)}, observer_{std::move(observer)},
      store_{std::move(store)}
{
}

runner_task::~runner_task()
{
    stop();
}

std::string runner_task::name() const
{
    return life_ == 1 ? settings_.name : core::concat(settings_.name, "-", life_);
}

absl::Status runner_task::on_start()
{
    client_ = std::make_unique<http::client>(loop(), static_cast<http::client_listener&>(*this));
    begin_life();
    write_row("ready", {});
    return listen();
}

absl::Status runner_task::listen()
{
    auto listening = http::server::listen(loop(), settings_.listen, http::server_settings{},
                                          static_cast<http::server_handler&>(*this));
    if (!listening.ok()) {
        return listening.status();
    }
    server_ = *std::move(listening);
    return absl::OkStatus();
}

void runner_task::begin_life()
{
    born_ms_ = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                              std::chrono::system_clock::now().time_since_epoch())
                                              .count());
}

void runner_task::write_row(std::string_view state, const std::string& former)
{
    if (store_ == nullptr) {
        return;
    }
    const document row{{"backend", settings_.service},
                       {"address", core::to_string(settings_.listed)},
                       {"zone", settings_.domain},
                       {"version", "v1"},
                       {"slots", settings_.slots},
                       {"state", state},
                       {"cold_left_ms", 0},
                       {"sequence", 1},
                       {"born", born_ms_}};
    std::vector<row_write> writes{row_write{"servers", name(), row.dump(), false}};
    if (!former.empty()) {
        writes.push_back(row_write{"servers", former, {}, true});
    }
    if (const absl::Status told = store_->post(write_rows{std::move(writes)}); !told.ok()) {
        core::log_event(core::log_level::error, "row_lost",
                        {{"runner", name()}, {"reason", std::string{told.message()}}});
    }
}

void runner_task::end_life()
{
    for (const auto& [exchange, running] : runs_) {
        loop().cancel(running->timer);
        loop().cancel(running->copy_timer);
        tell(runner_report::event::ended, *running);
    }
    runs_.clear();
    copies_.clear();
}

void runner_task::on_message(const set_runner_fault& command)
{
    const bool ends_life = fault_ == runner_fault::killed || fault_ == runner_fault::dark ||
                           fault_ == runner_fault::leaving;
    if (command.kind == runner_fault::killed || command.kind == runner_fault::dark) {
        end_life();
    }
    if (command.kind == runner_fault::killed) {
        server_.reset();
    }
    if (command.kind == runner_fault::leaving) {
        write_row("draining", {});
        post(runner_report{runner_report::event::leaving, name(), {}, {}, {}, false, 0, now()});
    }
    fault_ = command.kind;
    if (fault_ == runner_fault::none && ends_life) {
        end_life();
        const std::string former = name();
        ++life_;
        begin_life();
        write_row("ready", former);
        // Connections of the former life end with it.
        server_.reset();
        if (const absl::Status listening = listen(); !listening.ok()) {
            core::log_event(core::log_level::error, "runner_not_listening",
                            {{"reason", std::string{listening.message()}}});
        }
    }
}

void runner_task::on_stop()
{
    server_.reset();
    client_.reset();
}

void runner_task::on_request(http::exchange_id exchange, const http::request& received)
{
    if (fault_ == runner_fault::dark) {
        return;
    }
    if (received.path == "/report") {
        send_report(exchange);
        return;
    }
    if (received.path == "/healthz") {
        server_->respond(exchange,
                         http::response_head{status_ok, {{"x-cyclamencourse-instance-id", name()}}},
                         "");
        return;
    }
    if (received.path.starts_with(copy_path)) {
        accept_copy(exchange, received);
        return;
    }
    const std::string id{received.find_header(id_field)};
    const std::string_view expected = received.find_header("x-cyclamencourse-expect-instance");
    if (id.empty()) {
        turn_away(exchange, id, status_bad_request);
    }
    else if (!expected.empty() && expected != name()) {
        turn_away(exchange, id, status_misdirected);
    }
    else if (fault_ == runner_fault::shedding || runs_.size() >= settings_.slots) {
        turn_away(exchange, id, status_unavailable);
    }
    else if (!received.find_header("kv-from").empty() && copies_.erase(id) == 0) {
        turn_away(exchange, id, status_unavailable);
    }
    else {
        begin(exchange, received);
    }
}

void runner_task::on_disconnect(http::exchange_id exchange)
{
    const auto found = runs_.find(exchange);
    if (found != runs_.end()) {
        tell(runner_report::event::left, *found->second);
        finish(exchange);
    }
}

void runner_task::send_report(http::exchange_id exchange)
{
    const document body{
        {"stage", "both"},  {"models", document::array({{{"name", "m"}, {"version", 1}}})},
        {"state", "ready"}, {"born", born_ms_},
        {"queued", 0},      {"running", runs_.size()},
        {"kv_used", 0},     {"kv_total", 1'000'000}};
    server_->respond(exchange,
                     http::response_head{status_ok, {{"content-type", "application/json"}}},
                     body.dump());
}

void runner_task::accept_copy(http::exchange_id exchange, const http::request& received)
{
    copies_.insert_or_assign(received.path.substr(copy_path.size()), to_number(received.body));
    server_->respond(exchange, http::response_head{status_ok, {}}, "");
}

void runner_task::turn_away(http::exchange_id exchange, const std::string& id, int status)
{
    server_->respond(exchange,
                     http::response_head{status,
                                         {{std::string{id_field}, id},
                                          {"x-cyclamencourse-instance-id", name()},
                                          {"x-cyclamencourse-not-executed", "1"}}},
                     "");
}

std::vector<http::header> runner_task::answer_fields(const run& running) const
{
    const std::string id =
        fault_ == runner_fault::mixing ? core::concat(running.id, "-other") : running.id;
    return {{std::string{id_field}, id},
            {std::string{seal_field}, core::concat("seal-", running.id)}};
}

void runner_task::begin(http::exchange_id exchange, const http::request& received)
{
    auto made = std::make_unique<run>(
        run{exchange, received, std::string{received.find_header(id_field)}, seed_of(received)});
    run& running = *runs_.emplace(exchange, std::move(made)).first->second;
    running.next_event = to_number(received.find_header("last-event-id")) + 1;
    tell(runner_report::event::began, running);
    const bool streams = !received.find_header("x-cyclamencourse-token-counts").empty();
    running.timer = loop().run_after(settings_.work, [this, &running, streams] {
        if (streams) {
            send_event(running);
        }
        else {
            answer_plain(running);
        }
    });
    if (streams && !received.find_header("x-cyclamencourse-kv-backup").empty()) {
        running.copy_timer =
            loop().run_after(settings_.copy_period, [this, &running] { send_copy(running); });
    }
}

void runner_task::answer_plain(run& running)
{
    const http::exchange_id exchange = running.exchange;
    const std::string body = content_of(running.seed, 0);
    std::vector<http::header> fields = answer_fields(running);
    tell(runner_report::event::ended, running);
    switch (fault_) {
    case runner_fault::losing:
        server_->abort(exchange);
        break;
    case runner_fault::cutting:
        server_->send_head(exchange, http::response_head{status_ok, std::move(fields)});
        server_->send(exchange, body, false);
        server_->abort(exchange);
        break;
    case runner_fault::ambiguous:
        fields.push_back({"content-length", core::concat(body.size() + 10)});
        server_->send_head(exchange, http::response_head{status_ok, std::move(fields)});
        server_->send(exchange, body, true);
        break;
    case runner_fault::garbling:
        server_->send_head(exchange, http::response_head{status_ok, {{"x y", "\x01"}}});
        server_->abort(exchange);
        break;
    case runner_fault::failing:
        server_->respond(exchange, http::response_head{status_failed, std::move(fields)}, "failed");
        break;
    default:
        server_->respond(exchange, http::response_head{status_ok, std::move(fields)}, body);
        break;
    }
    finish(exchange);
}

void runner_task::send_event(run& running)
{
    const http::exchange_id exchange = running.exchange;
    if (!running.begun) {
        running.begun = true;
        if (fault_ == runner_fault::failing) {
            server_->respond(exchange, http::response_head{status_failed, answer_fields(running)},
                             "failed");
            tell(runner_report::event::ended, running);
            finish(exchange);
            return;
        }
        std::vector<http::header> fields = answer_fields(running);
        fields.push_back({"content-type", "text/event-stream"});
        server_->send_head(exchange, http::response_head{status_ok, std::move(fields)});
    }
    const std::uint64_t number = running.next_event;
    const std::string event =
        core::concat("id: ", number, "\ndata: ", content_of(running.seed, number), "\n\n");
    const bool broken = fault_ == runner_fault::cutting || fault_ == runner_fault::losing;
    if (broken) {
        server_->send(exchange, event.substr(0, event.size() / 2), false);
        server_->abort(exchange);
        tell(runner_report::event::ended, running);
        finish(exchange);
        return;
    }
    const bool last = number >= settings_.stream_events;
    server_->send(exchange, event, last);
    ++running.next_event;
    if (last) {
        tell(runner_report::event::ended, running);
        finish(exchange);
        return;
    }
    running.timer =
        loop().run_after(settings_.event_gap, [this, &running] { send_event(running); });
}

void runner_task::send_copy(run& running)
{
    const auto standby =
        core::parse_socket_address(running.received.find_header("x-cyclamencourse-kv-backup"));
    if (standby.ok()) {
        last_copy_ = last_copy_.next();
        client_->start(last_copy_, *standby,
                       http::request{"PUT",
                                     core::concat(copy_path, running.id),
                                     {},
                                     core::concat(running.next_event - 1)});
    }
    running.copy_timer =
        loop().run_after(settings_.copy_period, [this, &running] { send_copy(running); });
}

void runner_task::finish(http::exchange_id exchange)
{
    const auto found = runs_.find(exchange);
    loop().cancel(found->second->timer);
    loop().cancel(found->second->copy_timer);
    runs_.erase(found);
}

void runner_task::tell(runner_report::event what, const run& running)
{
    const http::request& received = running.received;
    post(runner_report{what, name(), running.id, received.path,
                       std::string{received.find_header("x-cyclamencourse-tenant")},
                       !received.find_header("kv-from").empty(),
                       to_number(received.find_header("last-event-id")), now()});
}

void runner_task::post(runner_report report)
{
    if (observer_ == nullptr) {
        return;
    }
    if (const absl::Status told = observer_->post(std::move(report)); !told.ok()) {
        core::log_event(core::log_level::error, "report_lost",
                        {{"runner", name()}, {"reason", std::string{told.message()}}});
    }
}

} // namespace cyclamen::standin
