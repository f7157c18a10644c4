#include "http/server.hpp"

#include <algorithm>
#include <map>
#include <optional>

#include "core/cell.hpp"
#include "core/error.hpp"
#include "core/log.hpp"
#include "core/text.hpp"
#include "http/response_encoder.hpp"
#include "http/server_connection.hpp"
#include "http/tcp_acceptor.hpp"
#include "task/h2o.hpp"

namespace cyclamen::http {

namespace {

/// Time in which the first request of a new connection is expected while the server closes.
constexpr core::duration first_request_time = std::chrono::milliseconds{250};

/// How often the time limits of connections are checked.
constexpr core::duration timeout_check_interval = std::chrono::seconds{1};

/// Maximum input buffered for further requests on a connection while a request is answered.
constexpr std::size_t max_buffered_input_bytes = 16 * 1024;

/// Minimum time between two log lines about connections that were closed for lack of room.
constexpr core::duration log_interval = std::chrono::seconds{1};

/// Requests that are not answered may hold this part of what unsent responses may.
constexpr std::size_t input_part = 2;

std::shared_ptr<limits::memory_ledger> make_ledger(const server_settings& settings)
{
    return std::make_shared<limits::memory_ledger>(
        limits::memory_limits{.max_input_bytes = settings.max_total_unsent_bytes / input_part,
                              .max_output_bytes = settings.max_total_unsent_bytes});
}

} // namespace

/// Owns the connections of a server.
class server::implementation final : private acceptor_listener, private detail::connection_owner {
  public:
    implementation(task::event_loop& loop, const server_settings& settings, server_handler& handler,
                   std::shared_ptr<limits::memory_ledger> ledger)
        : loop_{loop}, handler_{handler}, settings_{settings}, ledger_{std::move(ledger)}
    {
        schedule_timeout_check();
    }

    ~implementation() override
    {
        closing_ = true;
        stop_accepting();
        loop_.cancel(timeout_check_);
        connections_.clear();
    }
    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    absl::Status listen(const core::socket_address& address)
    {
        auto acceptor = tcp_acceptor::listen(loop_, address, *this);
        if (!acceptor.ok()) {
            return acceptor.status();
        }
        acceptor_ = *std::move(acceptor);
        return absl::OkStatus();
    }

    void set_settings(const server_settings& settings) { settings_.set(settings); }

    void disable_keep_alive() { keep_alive_disabled_ = true; }

    void stop_accepting()
    {
        keep_alive_disabled_ = true;
        if (acceptor_ == nullptr) {
            return;
        }
        if (!closing_) {
            acceptor_->accept_pending();
        }
        acceptor_.reset();
        for (auto it = connections_.begin(); it != connections_.end();) {
            // A request that is on its way or being answered is completed.
            const connection& checked = *it->second;
            const bool ends =
                checked.is_idle() && checked.was_used && !checked.stream.has_unread_bytes();
            it = ends ? connections_.erase(it) : std::next(it);
        }
    }

    [[nodiscard]] std::size_t busy_connections() const
    {
        const core::instant now = loop_.now();
        return static_cast<std::size_t>(
            std::count_if(connections_.begin(), connections_.end(), [&](const auto& entry) {
                const connection& checked = *entry.second;
                const bool awaits_first =
                    !checked.was_used && now - checked.waiting_since < first_request_time;
                return !checked.is_idle() || awaits_first || checked.stream.unsent() > 0;
            }));
    }

    void send_head(exchange_id id, const response_head& head)
    {
        connection* found = find(id);
        if (found != nullptr && !found->head_sent) {
            found->stream.write(begin_response(*found, head, std::nullopt));
        }
    }

    void send(exchange_id id, std::string_view bytes, bool last)
    {
        connection* found = find(id);
        if (found == nullptr || !found->head_sent) {
            return;
        }
        if (!found->omits_body) {
            found->stream.write(found->chunked ? encode_chunk(bytes, last) : std::string{bytes});
        }
        if (last) {
            finish(*found);
        }
        else if (found->stream.unsent() > settings_.get().max_unsent_bytes) {
            drop(*found, true);
            return;
        }
        limit_memory(*found);
    }

    void respond(exchange_id id, const response_head& head, std::string_view body)
    {
        connection* found = find(id);
        if (found == nullptr || found->head_sent) {
            return;
        }
        std::string text = begin_response(*found, head, body.size());
        if (!found->omits_body) {
            text += body;
        }
        found->stream.write(text);
        finish(*found);
        limit_memory(*found);
    }

    void abort(exchange_id id)
    {
        connection* found = find(id);
        if (found != nullptr) {
            drop(*found, false);
        }
    }

    [[nodiscard]] std::size_t open_exchanges() const { return exchanges_.size(); }

    [[nodiscard]] limits::connection_ends ended_by_limits() const { return ended_.get(); }

  private:
    using connection = detail::server_connection;
    using connection_number = detail::connection_number;

    task::event_loop& loop_;
    server_handler& handler_;
    core::cell<server_settings> settings_;
    std::shared_ptr<limits::memory_ledger> ledger_;
    std::unique_ptr<tcp_acceptor> acceptor_;
    std::map<connection_number, std::unique_ptr<connection>> connections_;
    std::map<exchange_id, connection*> exchanges_;
    connection_number last_number_;
    exchange_id last_exchange_;
    task::timer_id timeout_check_;
    /// When a connection that was closed for lack of room was last logged, and how many were not
    /// logged since.
    core::instant logged_at_;
    std::size_t unlogged_ = 0;
    core::cell<limits::connection_ends> ended_{limits::connection_ends{}};
    bool closing_ = false;
    bool keep_alive_disabled_ = false;

    connection* find(exchange_id id)
    {
        const auto found = exchanges_.find(id);
        return found == exchanges_.end() ? nullptr : found->second;
    }

    void on_accepted(h2o_socket_t* socket) override
    {
        last_number_ = last_number_.next();
        auto created = std::make_unique<connection>(static_cast<detail::connection_owner&>(*this),
                                                    last_number_, socket, settings_.get(), ledger_,
                                                    loop_.now());
        if (connections_.size() >= settings_.get().max_connections && !displace_connection()) {
            ended_.set(ended_.get() + limits::connection_ends{.refused = 1});
            log_closed("connection_refused", *created, {});
            return;
        }
        created->stream.start_reading();
        connections_.emplace(last_number_, std::move(created));
    }

    /// Closes the connection that has waited longest for its peer; one whose peer sends ahead only
    /// if there is no other.
    /// @return false if requests are being answered on all of them
    bool displace_connection()
    {
        const core::instant now = loop_.now();
        const auto is_older = [](const connection& checked, const connection* than) {
            return than == nullptr || checked.waiting_since < than->waiting_since;
        };
        connection* chosen = nullptr;
        connection* ahead = nullptr;
        for (const auto& [number, each] : connections_) {
            if (each->may_be_displaced(now)) {
                chosen = is_older(*each, chosen) ? each.get() : chosen;
            }
            else if (each->sends_ahead()) {
                ahead = is_older(*each, ahead) ? each.get() : ahead;
            }
        }
        chosen = chosen == nullptr ? ahead : chosen;
        if (chosen == nullptr) {
            return false;
        }
        ended_.set(ended_.get() + limits::connection_ends{.displaced = 1});
        log_closed("connection_displaced", *chosen, {});
        connections_.erase(connection_number{chosen->number});
        return true;
    }

    void on_bytes(connection& peer) override { read(peer); }

    void on_progress(connection& peer) override
    {
        peer.progressed_at = loop_.now();
        peer.count_memory(loop_.now());
        resume_reading(peer);
    }

    void on_sent(connection& peer) override
    {
        if (peer.close_when_sent) {
            connections_.erase(connection_number{peer.number});
            return;
        }
        peer.count_memory(loop_.now());
        if (!peer.exchange.has_value() && peer.reader == nullptr) {
            peer.begin_wait(settings_.get(), loop_.now());
            resume_reading(peer);
        }
    }

    void on_end(connection& peer) override { drop(peer, true); }

    void on_give_up(connection& peer, const limits::held_memory& held) override
    {
        ended_.set(ended_.get() + limits::connection_ends{.given_up = 1});
        log_closed("response_unsent", peer, held);
        drop(peer, true);
    }

    void resume_reading(connection& peer)
    {
        if (!peer.exchange.has_value() && !peer.close_when_sent && peer.may_read()) {
            continue_reading(peer);
            schedule_read(peer);
        }
    }

    /// Reads from the socket unless many received bytes are still to be handled.
    static void continue_reading(connection& peer)
    {
        if (peer.stream.input().size() < max_buffered_input_bytes) {
            peer.stream.start_reading();
        }
        else {
            peer.stream.stop_reading();
        }
    }

    void read(connection& peer)
    {
        const bool answers = peer.exchange.has_value() || peer.close_when_sent;
        if (answers || (peer.reader == nullptr && !peer.may_read())) {
            if (!answers || peer.stream.input().size() >= max_buffered_input_bytes) {
                peer.stream.stop_reading();
            }
            limit_memory(peer);
            return;
        }
        if (peer.stream.input().empty()) {
            return;
        }
        peer.feed_reader(settings_.get(), loop_.now());
        const int error_status = peer.reader->error_status();
        if (error_status != 0) {
            reject(peer, error_status);
            return;
        }
        if (!peer.reader->is_complete()) {
            peer.stream.start_reading();
            if (peer.reader->has_head() && peer.reader->expects_continue() && !peer.continue_sent) {
                peer.continue_sent = true;
                peer.stream.write("HTTP/1.1 100 Continue\r\n\r\n");
            }
            limit_memory(peer);
            return;
        }
        begin_exchange(peer);
    }

    /// Counts what a connection holds, and closes connections if all hold too much. The connection
    /// may have ended when it returns.
    void limit_memory(connection& peer)
    {
        const core::instant now = loop_.now();
        peer.count_memory(now);
        ledger_->enforce(now);
    }

    void begin_exchange(connection& peer)
    {
        last_exchange_ = last_exchange_.next();
        const exchange_id id = last_exchange_;
        peer.exchange = id;
        peer.was_used = true;
        peer.head_sent = false;
        peer.chunked = false;
        peer.continue_sent = false;
        peer.accepts_chunked = peer.reader->accepts_chunked();
        peer.keep_alive = peer.reader->keep_alive();
        const request received = peer.take_request();
        peer.count_memory(loop_.now());
        peer.is_head_request = received.method == "HEAD";
        exchanges_.emplace(id, &peer);
        handler_.on_request(id, received);
    }

    /// @return the encoded head of the response
    std::string begin_response(connection& peer, const response_head& head,
                               std::optional<std::size_t> length)
    {
        peer.head_sent = true;
        peer.omits_body = peer.is_head_request || has_no_body(head.status);
        peer.chunked = !length.has_value() && peer.accepts_chunked;
        // Without a length and without chunks, only closing the connection marks the end of the
        // body.
        peer.keep_alive = peer.keep_alive && !keep_alive_disabled_ &&
                          (length.has_value() || peer.accepts_chunked || peer.omits_body);
        return encode_head(
            head, response_framing{length, peer.chunked, peer.omits_body, peer.keep_alive});
    }

    void finish(connection& peer)
    {
        exchanges_.erase(*peer.exchange);
        peer.exchange.reset();
        peer.begin_wait(settings_.get(), loop_.now());
        if (!peer.keep_alive || keep_alive_disabled_) {
            close_after_sending(peer);
            return;
        }
        peer.request_bytes = 0;
        peer.count_memory(loop_.now());
        if (!peer.may_read()) {
            peer.stream.stop_reading();
            return;
        }
        continue_reading(peer);
        schedule_read(peer);
    }

    /// Reads the next request later if it was received already: the handler must not be called from
    /// within a call of the owner, and other connections have their turn first.
    void schedule_read(connection& peer)
    {
        if (peer.read_scheduled || peer.stream.input().empty()) {
            return;
        }
        peer.read_scheduled = true;
        loop_.run_after(core::duration::zero(), [this, number = peer.number] {
            const auto found = connections_.find(number);
            if (found != connections_.end()) {
                found->second->read_scheduled = false;
                read(*found->second);
            }
        });
    }

    void close_after_sending(connection& peer)
    {
        peer.close_when_sent = true;
        peer.begin_wait(settings_.get(), loop_.now());
        if (peer.stream.unsent() == 0) {
            // The owner may be in a callback of this connection, which must return first.
            loop_.run_after(core::duration::zero(),
                            [this, number = peer.number] { connections_.erase(number); });
        }
    }

    /// Answers invalid input with an error status and closes the connection.
    void reject(connection& peer, int status)
    {
        peer.reader.reset();
        peer.keep_alive = false;
        peer.is_head_request = false;
        peer.stream.write(begin_response(peer, response_head{status, {}}, 0));
        close_after_sending(peer);
    }

    /// Closes a connection immediately.
    /// @param notify whether the handler is notified that its exchange has ended
    void drop(connection& peer, bool notify)
    {
        const std::optional<exchange_id> exchange = peer.exchange;
        const auto ended = connections_.extract(connection_number{peer.number});
        if (exchange.has_value()) {
            exchanges_.erase(*exchange);
            if (notify && !closing_) {
                handler_.on_disconnect(*exchange);
            }
        }
    }

    /// Logs that a connection was closed for lack of room, at most once per interval.
    void log_closed(std::string_view event, const connection& closed,
                    const limits::held_memory& held)
    {
        const core::instant now = loop_.now();
        if (now - logged_at_ < log_interval) {
            ++unlogged_;
            return;
        }
        core::log_event(core::log_level::warning, event,
                        {{"peer", core::to_string(closed.stream.peer())},
                         {"request_bytes", held.input},
                         {"unsent_bytes", held.output},
                         {"all_request_bytes", ledger_->input_bytes()},
                         {"all_unsent_bytes", ledger_->output_bytes()},
                         {"connections", connections_.size()},
                         {"not_logged", unlogged_}});
        logged_at_ = now;
        unlogged_ = 0;
    }

    void schedule_timeout_check()
    {
        timeout_check_ = loop_.run_after(timeout_check_interval, [this] { check_timeouts(); });
    }

    static void log_expiry(const connection& expired, core::duration waited)
    {
        const bool loses_data = expired.reader != nullptr || expired.stream.unsent() > 0 ||
                                expired.stream.has_unread_bytes();
        core::log_event(loses_data ? core::log_level::info : core::log_level::debug,
                        "connection_expired",
                        {{"waited_ms", core::to_milliseconds(waited)},
                         {"reads_request", expired.reader != nullptr},
                         {"unsent_bytes", expired.stream.unsent()},
                         {"unread_bytes", expired.stream.has_unread_bytes()}});
    }

    void check_timeouts()
    {
        const core::instant now = loop_.now();
        for (auto it = connections_.begin(); it != connections_.end();) {
            const connection& checked = *it->second;
            const bool expired = checked.is_expired(settings_.get(), now);
            if (expired) {
                log_expiry(checked, now - checked.waiting_since);
            }
            it = expired ? connections_.erase(it) : std::next(it);
        }
        schedule_timeout_check();
    }
};

absl::StatusOr<std::unique_ptr<server>>
server::listen(task::event_loop& loop, const core::socket_address& address,
               const server_settings& settings, server_handler& handler,
               std::shared_ptr<limits::memory_ledger> ledger)
{
    auto created = std::make_unique<implementation>(
        loop, settings, handler, ledger == nullptr ? make_ledger(settings) : std::move(ledger));
    const absl::Status listening = created->listen(address);
    if (!listening.ok()) {
        return listening;
    }
    return std::unique_ptr<server>{new server{std::move(created)}};
}

server::server(std::unique_ptr<implementation> created) : implementation_{std::move(created)} {}

server::~server() = default;

void server::send_head(exchange_id exchange, const response_head& head)
{
    implementation_->send_head(exchange, head);
}

void server::send(exchange_id exchange, std::string_view bytes, bool last)
{
    implementation_->send(exchange, bytes, last);
}

void server::respond(exchange_id exchange, const response_head& head, std::string_view body)
{
    implementation_->respond(exchange, head, body);
}

void server::abort(exchange_id exchange)
{
    implementation_->abort(exchange);
}

void server::set_settings(const server_settings& settings)
{
    implementation_->set_settings(settings);
}

void server::disable_keep_alive()
{
    implementation_->disable_keep_alive();
}

void server::stop_accepting()
{
    implementation_->stop_accepting();
}

std::size_t server::busy_connections() const
{
    return implementation_->busy_connections();
}

limits::connection_ends server::ended_by_limits() const
{
    return implementation_->ended_by_limits();
}

std::size_t server::open_exchanges() const
{
    return implementation_->open_exchanges();
}

} // namespace cyclamen::http
