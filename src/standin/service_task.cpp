#include "standin/service_task.hpp"

#include <nlohmann/json.hpp>

#include "core/log.hpp"
#include "core/text.hpp"

namespace cyclamen::standin {

namespace {

using document = nlohmann::json;

constexpr std::size_t max_body_bytes = 16'000'000;
constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
/// Leaves time to send the answer before a fault starts.
constexpr core::duration fault_delay = std::chrono::milliseconds{10};

} // namespace

std::optional<service_fault> parse_service_fault(std::string_view text)
{
    static const std::map<std::string_view, service_fault> kinds{
        {"none", service_fault::none},
        {"killed", service_fault::killed},
        {"paused_before", service_fault::paused_before},
        {"paused_after", service_fault::paused_after},
        {"losing", service_fault::losing}};
    const auto found = kinds.find(text);
    return found == kinds.end() ? std::nullopt : std::optional{found->second};
}

service_task::service_task(service_settings settings)
    : basic_task{"stand-in service"}, settings_{std::move(settings)}
{
}

service_task::~service_task()
{
    stop();
}

absl::Status service_task::on_start()
{
    return listen();
}

absl::Status service_task::listen()
{
    auto listening = http::server::listen(
        loop(), settings_.listen,
        http::server_settings{http::message_limits{.max_body_bytes = max_body_bytes}}, *this);
    if (!listening.ok()) {
        return listening.status();
    }
    server_ = *std::move(listening);
    return absl::OkStatus();
}

void service_task::on_message(const set_service_fault& command)
{
    apply(command);
}

void service_task::on_stop()
{
    server_.reset();
}

void service_task::on_disconnect(http::exchange_id exchange)
{
    std::erase_if(held_requests_, [&](const auto& each) { return each->exchange == exchange; });
}

void service_task::on_request(http::exchange_id exchange, const http::request& request)
{
    if (request.path.starts_with("/admin/")) {
        on_admin(exchange, request);
    }
    else if (fault_ == service_fault::paused_before) {
        held_requests_.push_back(
            std::unique_ptr<held_request>{new held_request{exchange, request}});
    }
    else {
        run(exchange, request);
    }
}

void service_task::run(http::exchange_id exchange, const http::request& request)
{
    const std::string key{request.find_header("idempotency-key")};
    const std::uint64_t run_number = ++runs_[key];
    const std::string body =
        core::concat(request.method, " ", request.path, " ", key, " run ", run_number);
    if (fault_ == service_fault::losing) {
        loop().run_after(core::duration::zero(), [this, exchange] {
            if (server_ != nullptr) {
                server_->abort(exchange);
            }
        });
        return;
    }
    if (fault_ == service_fault::paused_after) {
        held_answers_.push_back(held_answer{exchange, body});
        return;
    }
    loop().run_after(settings_.latency,
                     [this, exchange, body] { respond(exchange, status_ok, body); });
}

void service_task::respond(http::exchange_id exchange, int status, const std::string& body)
{
    if (server_ != nullptr) {
        server_->respond(
            exchange,
            http::response_head{status, {{"content-type", "text/plain"}, {"x-stand-in", "yes"}}},
            body);
    }
}

void service_task::on_admin(http::exchange_id exchange, const http::request& request)
{
    if (request.path == "/admin/runs") {
        respond(exchange, status_ok, document{{"runs", runs_}}.dump());
        return;
    }
    const document body = document::parse(request.body, nullptr, false);
    const auto kind = body.is_object() ? parse_service_fault(body.value("kind", "")) : std::nullopt;
    if (!kind.has_value()) {
        respond(exchange, status_bad_request,
                "unknown `kind`: use none, killed, paused_before, paused_after or losing");
        return;
    }
    respond(exchange, status_ok, "{}");
    const set_service_fault command{*kind};
    loop().run_after(fault_delay, [this, command] { apply(command); });
    if (body.contains("for_ms") && body["for_ms"].is_number_unsigned()) {
        const std::chrono::milliseconds length{body["for_ms"].get<std::uint32_t>()};
        loop().run_after(fault_delay + length, [this] { apply({service_fault::none}); });
    }
}

void service_task::apply(const set_service_fault& command)
{
    fault_ = command.kind;
    if (command.kind == service_fault::killed) {
        held_requests_.clear();
        held_answers_.clear();
        server_.reset();
        return;
    }
    if (server_ == nullptr) {
        const absl::Status status = listen();
        if (!status.ok()) {
            core::log_event(core::log_level::error, "stand_in_not_back",
                            {{"error", status.message()}});
        }
    }
    if (command.kind == service_fault::none) {
        release_held();
    }
}

void service_task::release_held()
{
    const auto answers = std::exchange(held_answers_, {});
    for (const held_answer& answer : answers) {
        respond(answer.exchange, status_ok, answer.body);
    }
    const auto requests = std::exchange(held_requests_, {});
    for (const auto& held : requests) {
        run(held->exchange, held->request);
    }
}

} // namespace cyclamen::standin
