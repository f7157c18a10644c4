#include "standin/runner_task.hpp"

#include <algorithm>
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
constexpr std::string_view leaving_field = "server-leaving";
constexpr std::string_view parts_field = "x-cyclamencourse-prompt-prefix";
constexpr std::string_view seal_field = "x-cyclamencourse-response-seal";

std::uint64_t to_number(std::string_view text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

/// @return the text that determines the answer: the prompt prefix of a stream, or else the id of
///         the request
std::string answer_seed(const http::request& request)
{
    const std::string_view parts = request.find_header(parts_field);
    return std::string{parts.empty() ? request.find_header(id_field) : parts};
}

} // namespace

std::string answer_content(std::string_view seed, std::uint64_t number)
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
    return incarnation_ == 1 ? settings_.name : core::concat(settings_.name, "-", incarnation_);
}

absl::Status runner_task::on_start()
{
    client_ = std::make_unique<http::client>(loop(), static_cast<http::client_listener&>(*this));
    begin_incarnation();
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

void runner_task::begin_incarnation()
{
    started_ms_ =
        static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                       std::chrono::system_clock::now().time_since_epoch())
                                       .count());
}

void runner_task::write_row(std::string_view state, const std::string& previous_name)
{
    if (store_ == nullptr) {
        return;
    }
    const document row{{"backend", settings_.service},
                       {"address", core::to_string(settings_.listed_address)},
                       {"zone", settings_.failure_domain},
                       {"version", "v1"},
                       {"slots", settings_.slots},
                       {"state", state},
                       {"cold_left_ms", 0},
                       {"sequence", 1},
                       {"born", started_ms_}};
    std::vector<row_write> writes{row_write{"servers", name(), row.dump(), false}};
    if (!previous_name.empty()) {
        writes.push_back(row_write{"servers", previous_name, {}, true});
    }
    if (const absl::Status posted = store_->post(write_rows{std::move(writes)}); !posted.ok()) {
        core::log_event(core::log_level::error, "row_lost",
                        {{"runner", name()}, {"reason", std::string{posted.message()}}});
    }
}

void runner_task::end_incarnation()
{
    for (const auto& [exchange, run] : runs_) {
        loop().cancel(run->timer);
        loop().cancel(run->copy_timer);
        report_event(runner_report::event::ended, *run);
    }
    runs_.clear();
    copies_.clear();
}

void runner_task::resume()
{
    for (const http::exchange_id ended : std::exchange(unread_ends_, {})) {
        on_disconnect(ended);
    }
    for (const auto& [exchange, run] : runs_) {
        if (run->head_sent && !run->withheld.empty()) {
            server_->send(exchange, std::exchange(run->withheld, {}), false);
        }
    }
    for (const auto& [exchange, request] : std::exchange(unread_requests_, {})) {
        on_request(exchange, request);
    }
}

void runner_task::on_message(const set_runner_fault& command)
{
    const bool was_paused = fault_ == runner_fault::paused;
    const bool ends_incarnation =
        fault_ == runner_fault::killed || fault_ == runner_fault::dark || is_leaving();
    if (command.kind == runner_fault::killed || command.kind == runner_fault::dark) {
        end_incarnation();
    }
    if (command.kind == runner_fault::killed) {
        server_.reset();
    }
    if (command.kind == runner_fault::channels_silent) {
        for (const auto& [exchange, run] : runs_) {
            run->is_silent = true;
        }
    }
    if (command.kind == runner_fault::leaving) {
        write_row("draining", {});
        post_report(
            runner_report{runner_report::event::leaving, name(), {}, {}, {}, false, 0, now()});
    }
    fault_ = command.kind;
    if (was_paused && fault_ != runner_fault::paused) {
        resume();
    }
    if (fault_ == runner_fault::none && ends_incarnation) {
        end_incarnation();
        restart();
    }
}

void runner_task::restart()
{
    const std::string previous_name = name();
    ++incarnation_;
    begin_incarnation();
    write_row("ready", previous_name);
    // Closes the connections of the previous incarnation.
    server_.reset();
    if (const absl::Status listening = listen(); !listening.ok()) {
        core::log_event(core::log_level::error, "runner_not_listening",
                        {{"reason", std::string{listening.message()}}});
    }
}

void runner_task::crash(active_run& run)
{
    report_event(runner_report::event::crashed, run);
    if (run.head_sent) {
        server_->send(run.exchange, "id: ", false);
    }
    loop().cancel(restart_timer_);
    restart_timer_ = loop().run_after(core::duration::zero(), [this] {
        end_incarnation();
        server_.reset();
        restart_timer_ = loop().run_after(settings_.restart_time, [this] { restart(); });
    });
}

void runner_task::on_stop()
{
    loop().cancel(restart_timer_);
    server_.reset();
    client_.reset();
}

void runner_task::on_request(http::exchange_id exchange, const http::request& request)
{
    if (fault_ == runner_fault::dark) {
        return;
    }
    if (fault_ == runner_fault::paused) {
        unread_requests_.emplace_back(exchange, request);
        return;
    }
    if (request.path == "/report") {
        send_report(exchange);
        return;
    }
    if (request.path == "/healthz") {
        server_->respond(exchange,
                         http::response_head{status_ok, {{"x-cyclamencourse-instance-id", name()}}},
                         "");
        return;
    }
    if (request.path.starts_with(copy_path)) {
        store_copy(exchange, request);
        return;
    }
    const std::string id{request.find_header(id_field)};
    const std::string_view expected = request.find_header("x-cyclamencourse-expect-instance");
    if (id.empty()) {
        reject(exchange, id, status_bad_request);
    }
    else if (!expected.empty() && expected != name()) {
        reject(exchange, id, status_misdirected);
    }
    else if (fault_ == runner_fault::shedding || fault_ == runner_fault::holding ||
             runs_.size() >= settings_.slots) {
        reject(exchange, id, status_unavailable);
    }
    else if (!request.find_header("kv-from").empty() && copies_.erase(id) == 0) {
        reject(exchange, id, status_unavailable);
    }
    else {
        start_run(exchange, request);
    }
}

void runner_task::on_disconnect(http::exchange_id exchange)
{
    if (fault_ == runner_fault::paused) {
        unread_ends_.push_back(exchange);
        return;
    }
    const auto found = runs_.find(exchange);
    if (found != runs_.end()) {
        report_event(runner_report::event::disconnected, *found->second);
        remove_run(exchange);
    }
}

void runner_task::send_report(http::exchange_id exchange)
{
    document runs = document::array();
    for (const auto& [number, run] : runs_) {
        runs.push_back(document::array({run->id, 0, run->next_event - 1, 0}));
    }
    const document body{
        {"stage", "both"},  {"models", document::array({{{"name", "m"}, {"version", 1}}})},
        {"state", "ready"}, {"born", started_ms_},
        {"queued", 0},      {"running", runs_.size()},
        {"kv_used", 0},     {"kv_total", 1'000'000},
        {"runs", runs}};
    server_->respond(exchange,
                     http::response_head{status_ok, {{"content-type", "application/json"}}},
                     body.dump());
}

void runner_task::store_copy(http::exchange_id exchange, const http::request& request)
{
    copies_.insert_or_assign(request.path.substr(copy_path.size()), to_number(request.body));
    server_->respond(exchange, http::response_head{status_ok, {}}, "");
}

void runner_task::reject(http::exchange_id exchange, const std::string& id, int status)
{
    std::vector<http::header> fields{{std::string{id_field}, id},
                                     {"x-cyclamencourse-instance-id", name()},
                                     {"x-cyclamencourse-not-executed", "1"}};
    if (fault_ == runner_fault::holding) {
        fields.push_back({"retry-after", "1"});
    }
    if (is_leaving()) {
        fields.push_back({std::string{leaving_field}, "1"});
    }
    server_->respond(exchange, http::response_head{status, std::move(fields)}, "");
}

bool runner_task::is_leaving() const
{
    return fault_ == runner_fault::leaving || fault_ == runner_fault::leaving_unlisted;
}

std::vector<http::header> runner_task::answer_fields(const active_run& run) const
{
    const std::string id = fault_ == runner_fault::mixing ? core::concat(run.id, "-other") : run.id;
    std::vector<http::header> fields{{std::string{id_field}, id},
                                     {std::string{seal_field}, core::concat("seal-", run.id)}};
    if (is_leaving()) {
        fields.push_back({std::string{leaving_field}, "1"});
    }
    return fields;
}

void runner_task::start_run(http::exchange_id exchange, const http::request& request)
{
    auto new_run = std::make_unique<active_run>(active_run{
        exchange, request, std::string{request.find_header(id_field)}, answer_seed(request)});
    active_run& run = *runs_.emplace(exchange, std::move(new_run)).first->second;
    run.next_event = fault_ == runner_fault::restarting
                         ? 1
                         : to_number(request.find_header("last-event-id")) + 1;
    report_event(runner_report::event::began, run);
    if (!settings_.deadly_body.empty() &&
        request.body.find(settings_.deadly_body) != std::string::npos) {
        crash(run);
        return;
    }
    const bool streams = !request.find_header("x-cyclamencourse-token-counts").empty();
    run.timer = loop().run_after(settings_.work_time, [this, &run, streams] {
        if (streams) {
            send_event(run);
        }
        else {
            send_plain_answer(run);
        }
    });
    if (streams && !request.find_header("x-cyclamencourse-kv-backup").empty()) {
        run.copy_timer =
            loop().run_after(settings_.copy_interval, [this, &run] { send_copy(run); });
    }
}

void runner_task::send_plain_answer(active_run& run)
{
    const http::exchange_id exchange = run.exchange;
    if (run.is_silent) {
        return;
    }
    if (fault_ == runner_fault::paused) {
        run.timer = loop().run_after(settings_.event_gap, [this, &run] { send_plain_answer(run); });
        return;
    }
    const std::string body = answer_content(run.seed, 0);
    std::vector<http::header> fields = answer_fields(run);
    report_event(runner_report::event::ended, run);
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
    remove_run(exchange);
}

void runner_task::send_event(active_run& run)
{
    if (run.is_silent) {
        // A run whose answer is complete stays, as its end can't be sent.
        run.next_event = std::min(run.next_event + 1, settings_.stream_events + 1);
        run.timer = loop().run_after(settings_.event_gap, [this, &run] { send_event(run); });
        return;
    }
    const http::exchange_id exchange = run.exchange;
    if (fault_ == runner_fault::paused && (!run.head_sent || is_last(run))) {
        run.timer = loop().run_after(settings_.event_gap, [this, &run] { send_event(run); });
        return;
    }
    if (!run.head_sent) {
        run.head_sent = true;
        if (fault_ == runner_fault::failing) {
            server_->respond(exchange, http::response_head{status_failed, answer_fields(run)},
                             "failed");
            report_event(runner_report::event::ended, run);
            remove_run(exchange);
            return;
        }
        std::vector<http::header> fields = answer_fields(run);
        fields.push_back({"content-type", "text/event-stream"});
        server_->send_head(exchange, http::response_head{status_ok, std::move(fields)});
        if (!settings_.deadly_part.empty() &&
            run.request.find_header(parts_field).find(settings_.deadly_part) !=
                std::string_view::npos) {
            crash(run);
            return;
        }
    }
    const std::uint64_t number = run.next_event;
    const std::string event =
        core::concat("id: ", number, "\ndata: ", answer_content(run.seed, number), "\n\n");
    const bool broken = fault_ == runner_fault::cutting || fault_ == runner_fault::losing;
    if (broken) {
        server_->send(exchange, event.substr(0, event.size() / 2), false);
        server_->abort(exchange);
        report_event(runner_report::event::ended, run);
        remove_run(exchange);
        return;
    }
    const bool last = is_last(run);
    if (fault_ == runner_fault::paused) {
        run.withheld += event;
    }
    else {
        server_->send(exchange, event, last);
    }
    ++run.next_event;
    if (last) {
        report_event(runner_report::event::ended, run);
        remove_run(exchange);
        return;
    }
    run.timer = loop().run_after(settings_.event_gap, [this, &run] { send_event(run); });
}

bool runner_task::is_last(const active_run& run) const
{
    return run.next_event >= settings_.stream_events;
}

void runner_task::send_copy(active_run& run)
{
    const auto standby =
        core::parse_socket_address(run.request.find_header("x-cyclamencourse-kv-backup"));
    if (standby.ok()) {
        last_copy_request_ = last_copy_request_.next();
        client_->start(
            last_copy_request_, *standby,
            http::request{
                "PUT", core::concat(copy_path, run.id), {}, core::concat(run.next_event - 1)});
    }
    run.copy_timer = loop().run_after(settings_.copy_interval, [this, &run] { send_copy(run); });
}

void runner_task::remove_run(http::exchange_id exchange)
{
    const auto found = runs_.find(exchange);
    loop().cancel(found->second->timer);
    loop().cancel(found->second->copy_timer);
    runs_.erase(found);
}

void runner_task::report_event(runner_report::event kind, const active_run& run)
{
    const http::request& request = run.request;
    post_report(runner_report{kind, name(), run.id, request.path,
                              std::string{request.find_header("x-cyclamencourse-tenant")},
                              !request.find_header("kv-from").empty(),
                              to_number(request.find_header("last-event-id")), now()});
}

void runner_task::post_report(runner_report report)
{
    if (observer_ == nullptr) {
        return;
    }
    if (const absl::Status posted = observer_->post(std::move(report)); !posted.ok()) {
        core::log_event(core::log_level::error, "report_lost",
                        {{"runner", name()}, {"reason", std::string{posted.message()}}});
    }
}

} // namespace cyclamen::standin
