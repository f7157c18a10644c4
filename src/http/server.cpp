#include "http/server.hpp"

#include <algorithm>
#include <map>
#include <optional>

#include "core/cell.hpp"
#include "core/error.hpp"
#include "core/log.hpp"
#include "core/text.hpp"
#include "http/tcp_acceptor.hpp"
#include "http/tcp_stream.hpp"
#include "task/h2o.hpp"

namespace cyclamen::http {

namespace {

constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;
constexpr int first_final_status = 200;

/// Time in which the first request of a new connection is expected while the server closes.
constexpr core::duration first_request_time = std::chrono::milliseconds{250};

/// How often the time limits of connections are checked.
constexpr core::duration timeout_check_interval = std::chrono::seconds{1};

/// Maximum input buffered for further requests on a connection while a request is answered.
constexpr std::size_t max_buffered_input_bytes = 64 * 1024;

/// Unsent output of a connection from which on the output of all connections is added up.
constexpr std::size_t long_output_bytes = 64 * 1024;

using connection_number = core::number<struct connection_number_tag>;

std::string encode_chunk(std::string_view bytes, bool last)
{
    std::string text;
    if (!bytes.empty()) {
        text = fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
    }
    return last ? text + "0\r\n\r\n" : text;
}

bool has_no_body(int status)
{
    return status < first_final_status || status == status_no_content ||
           status == status_not_modified;
}

} // namespace

/// Owns the connections of a server.
class server::implementation final : private acceptor_listener {
  public:
    implementation(task::event_loop& loop, const server_settings& settings, server_handler& handler)
        : loop_{loop}, handler_{handler}, settings_{settings}
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
        if (connection* sending = find(id);
            sending != nullptr && sending->stream.unsent() >= long_output_bytes) {
            limit_unsent_bytes();
        }
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
        const bool is_long = found->stream.unsent() >= long_output_bytes;
        finish(*found);
        if (is_long) {
            limit_unsent_bytes();
        }
    }

    void abort(exchange_id id)
    {
        connection* found = find(id);
        if (found != nullptr) {
            drop(*found, false);
        }
    }

    [[nodiscard]] std::size_t open_exchanges() const { return exchanges_.size(); }

  private:
    struct connection final : stream_listener {
        connection(implementation& owning, connection_number own, h2o_socket_t* accepted)
            : owner{owning}, number{own}, stream{accepted,
                                                 owning.settings_.get().unacknowledged_timeout,
                                                 *this},
              waiting_since{owning.loop_.now()},
              request_timeout{owning.settings_.get().request_timeout},
              idle_timeout{owning.settings_.get().idle_timeout}
        {
        }

        implementation& owner;
        const connection_number number;
        tcp_stream stream;
        /// Start of the wait to which a time limit applies.
        core::instant waiting_since;
        /// Time limits that were in force then.
        core::duration request_timeout;
        core::duration idle_timeout;
        std::unique_ptr<request_reader> reader;
        std::optional<exchange_id> exchange;
        bool head_sent = false;
        bool chunked = false;
        bool omits_body = false;
        bool is_head_request = false;
        bool accepts_chunked = true;
        bool keep_alive = true;
        bool continue_sent = false;
        /// A request was received on the connection.
        bool was_used = false;
        /// Closes the connection as soon as all output is written.
        bool close_when_sent = false;

        [[nodiscard]] bool is_idle() const
        {
            return !exchange.has_value() && reader == nullptr && !close_when_sent &&
                   stream.input().empty();
        }

        void on_bytes() override { owner.read(*this); }
        void on_sent() override
        {
            if (close_when_sent) {
                owner.connections_.erase(connection_number{number});
            }
            else if (!exchange.has_value() && reader == nullptr) {
                owner.begin_wait(*this);
            }
        }
        void on_end(close_reason /*end*/) override { owner.drop(*this, true); }
    };

    task::event_loop& loop_;
    server_handler& handler_;
    core::cell<server_settings> settings_;
    std::unique_ptr<tcp_acceptor> acceptor_;
    std::map<connection_number, std::unique_ptr<connection>> connections_;
    std::map<exchange_id, connection*> exchanges_;
    connection_number last_number_;
    exchange_id last_exchange_;
    task::timer_id timeout_check_;
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
        auto created = std::make_unique<connection>(*this, last_number_, socket);
        created->stream.start_reading();
        connections_.emplace(last_number_, std::move(created));
    }

    void read(connection& peer)
    {
        if (peer.exchange.has_value() || peer.close_when_sent) {
            if (peer.stream.input().size() > max_buffered_input_bytes) {
                peer.stream.stop_reading();
            }
            return;
        }
        if (peer.stream.input().empty()) {
            return;
        }
        if (peer.reader == nullptr) {
            peer.reader = std::make_unique<request_reader>(settings_.get().messages);
            begin_wait(peer);
        }
        peer.stream.consume(peer.reader->feed(peer.stream.input()));
        const int error_status = peer.reader->error_status();
        if (error_status != 0) {
            reject(peer, error_status);
            return;
        }
        if (!peer.reader->is_complete()) {
            if (peer.reader->has_head() && peer.reader->expects_continue() && !peer.continue_sent) {
                peer.continue_sent = true;
                peer.stream.write("HTTP/1.1 100 Continue\r\n\r\n");
            }
            return;
        }
        begin_exchange(peer);
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
        const request received = peer.reader->take();
        peer.reader.reset();
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
        std::string text =
            core::concat("HTTP/1.1 ", head.status, " ", reason_phrase(head.status), "\r\n");
        for (const header& field : head.headers) {
            core::append(text, field.name, ": ", field.value, "\r\n");
        }
        if (length.has_value() && !has_no_body(head.status)) {
            core::append(text, "content-length: ", *length, "\r\n");
        }
        else if (peer.chunked && !peer.omits_body) {
            text += "transfer-encoding: chunked\r\n";
        }
        if (!peer.keep_alive) {
            text += "connection: close\r\n";
        }
        text += "\r\n";
        return text;
    }

    void finish(connection& peer)
    {
        exchanges_.erase(*peer.exchange);
        peer.exchange.reset();
        begin_wait(peer);
        if (!peer.keep_alive || keep_alive_disabled_) {
            close_after_sending(peer);
            return;
        }
        peer.stream.start_reading();
        if (!peer.stream.input().empty()) {
            // The next request was received already. It is read later, as the handler must not be
            // called from within a call of the owner.
            loop_.run_after(core::duration::zero(), [this, number = peer.number] {
                const auto found = connections_.find(number);
                if (found != connections_.end()) {
                    read(*found->second);
                }
            });
        }
    }

    void close_after_sending(connection& peer)
    {
        peer.close_when_sent = true;
        begin_wait(peer);
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

    /// Closes the connections with the most unsent bytes until the rest is within the limit.
    void limit_unsent_bytes()
    {
        std::size_t total = 0;
        for (const auto& [number, each] : connections_) {
            total += each->stream.unsent();
        }
        while (total > settings_.get().max_total_unsent_bytes) {
            const auto largest = std::max_element(
                connections_.begin(), connections_.end(), [](const auto& left, const auto& right) {
                    return left.second->stream.unsent() < right.second->stream.unsent();
                });
            const std::size_t unsent = largest->second->stream.unsent();
            core::log_event(core::log_level::warning, "response_unsent",
                            {{"unsent_bytes", unsent},
                             {"all_unsent_bytes", total},
                             {"connections", connections_.size()}});
            total -= unsent;
            drop(*largest->second, true);
        }
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

    /// Starts the time limits of a connection that waits for its peer.
    void begin_wait(connection& peer)
    {
        peer.waiting_since = loop_.now();
        peer.request_timeout = settings_.get().request_timeout;
        peer.idle_timeout = settings_.get().idle_timeout;
    }

    /// @return true if the peer has exceeded the time limits. A limit that was in force when the
    /// wait began holds until the end of the wait, because the peer may rely on it.
    [[nodiscard]] bool is_expired(const connection& checked, core::instant now) const
    {
        if (checked.exchange.has_value()) {
            return false;
        }
        const bool transfers =
            checked.reader != nullptr || checked.close_when_sent || checked.stream.unsent() > 0;
        const core::duration timeout =
            transfers ? std::max(checked.request_timeout, settings_.get().request_timeout)
                      : std::max(checked.idle_timeout, settings_.get().idle_timeout);
        // Bytes that have arrived but were not read yet may complete a request.
        return now - checked.waiting_since > timeout &&
               (checked.close_when_sent || !checked.stream.has_unread_bytes());
    }

    void check_timeouts()
    {
        const core::instant now = loop_.now();
        for (auto it = connections_.begin(); it != connections_.end();) {
            const connection& checked = *it->second;
            const bool expired = is_expired(checked, now);
            if (expired) {
                log_expiry(checked, now - checked.waiting_since);
            }
            it = expired ? connections_.erase(it) : std::next(it);
        }
        schedule_timeout_check();
    }
};

absl::StatusOr<std::unique_ptr<server>> server::listen(task::event_loop& loop,
                                                       const core::socket_address& address,
                                                       const server_settings& settings,
                                                       server_handler& handler)
{
    auto created = std::make_unique<implementation>(loop, settings, handler);
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

std::size_t server::open_exchanges() const
{
    return implementation_->open_exchanges();
}

} // namespace cyclamen::http
