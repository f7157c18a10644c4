#include "http/server.hpp"

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

/// How often timed limits of connections are looked at.
constexpr core::duration limit_check_period = std::chrono::seconds{1};

/// Bytes of following requests that may wait while a request is answered.
constexpr std::size_t most_waiting_input_bytes = 64 * 1024;

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

/// Keeps the connections of one server.
class server::implementation final : private acceptor_listener {
  public:
    implementation(task::event_loop& loop, const server_settings& settings, server_handler& handler)
        : loop_{loop}, handler_{handler}, settings_{settings}
    {
        check_limits_later();
    }

    ~implementation() override
    {
        closing_ = true;
        stop_accepting();
        loop_.cancel(limit_check_);
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

    void close_after_answers() { closes_after_answers_ = true; }

    void stop_accepting()
    {
        closes_after_answers_ = true;
        if (acceptor_ == nullptr) {
            return;
        }
        acceptor_.reset();
        for (auto each = connections_.begin(); each != connections_.end();) {
            // A request that is arriving or being answered goes on.
            const bool idle = each->second->is_idle();
            each = idle ? connections_.erase(each) : std::next(each);
        }
    }

    void send_head(exchange_id id, const response_head& head)
    {
        connection* found = find(id);
        if (found != nullptr && !found->head_sent) {
            found->stream.write(begin_answer(*found, head, std::nullopt));
        }
    }

    void send(exchange_id id, std::string_view bytes, bool last)
    {
        connection* found = find(id);
        if (found == nullptr || !found->head_sent) {
            return;
        }
        if (!found->without_body) {
            found->stream.write(found->chunked ? encode_chunk(bytes, last) : std::string{bytes});
        }
        if (last) {
            finish(*found);
        }
        else if (found->stream.unsent() > settings_.get().most_unsent_bytes) {
            drop(*found, true);
        }
    }

    void respond(exchange_id id, const response_head& head, std::string_view body)
    {
        connection* found = find(id);
        if (found == nullptr || found->head_sent) {
            return;
        }
        std::string text = begin_answer(*found, head, body.size());
        if (!found->without_body) {
            text += body;
        }
        found->stream.write(text);
        finish(*found);
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
                                                 owning.settings_.get().unacknowledged_limit,
                                                 *this},
              since{owning.loop_.now()}
        {
        }

        implementation& owner;
        const connection_number number;
        tcp_stream stream;
        /// Begin of the wait that a limit applies to.
        core::instant since;
        std::unique_ptr<request_reader> reader;
        std::optional<exchange_id> exchange;
        bool head_sent = false;
        bool chunked = false;
        bool without_body = false;
        bool answers_head_request = false;
        bool takes_chunks = true;
        bool keeps_connection = true;
        bool told_to_continue = false;
        /// Closes as soon as all is written.
        bool ending = false;

        [[nodiscard]] bool is_idle() const
        {
            return !exchange.has_value() && reader == nullptr && !ending && stream.input().empty();
        }

        void on_bytes() override { owner.read(*this); }
        void on_sent() override
        {
            if (ending) {
                owner.connections_.erase(connection_number{number});
            }
        }
        void on_end(stream_end /*end*/) override { owner.drop(*this, true); }
    };

    task::event_loop& loop_;
    server_handler& handler_;
    core::cell<server_settings> settings_;
    std::unique_ptr<tcp_acceptor> acceptor_;
    std::map<connection_number, std::unique_ptr<connection>> connections_;
    std::map<exchange_id, connection*> exchanges_;
    connection_number last_connection_;
    exchange_id last_exchange_;
    task::timer_id limit_check_;
    bool closing_ = false;
    bool closes_after_answers_ = false;

    connection* find(exchange_id id)
    {
        const auto found = exchanges_.find(id);
        return found == exchanges_.end() ? nullptr : found->second;
    }

    void on_accepted(h2o_socket_t* socket) override
    {
        last_connection_ = last_connection_.next();
        auto made = std::make_unique<connection>(*this, last_connection_, socket);
        made->stream.start_reading();
        connections_.emplace(last_connection_, std::move(made));
    }

    void read(connection& from)
    {
        if (from.exchange.has_value() || from.ending) {
            if (from.stream.input().size() > most_waiting_input_bytes) {
                from.stream.stop_reading();
            }
            return;
        }
        if (from.stream.input().empty()) {
            return;
        }
        if (from.reader == nullptr) {
            from.reader = std::make_unique<request_reader>(settings_.get().messages);
            from.since = loop_.now();
        }
        from.stream.consume(from.reader->feed(from.stream.input()));
        const int refusal = from.reader->refusal();
        if (refusal != 0) {
            refuse(from, refusal);
            return;
        }
        if (!from.reader->is_complete()) {
            if (from.reader->has_head() && from.reader->expects_continue() &&
                !from.told_to_continue) {
                from.told_to_continue = true;
                from.stream.write("HTTP/1.1 100 Continue\r\n\r\n");
            }
            return;
        }
        begin_exchange(from);
    }

    void begin_exchange(connection& from)
    {
        last_exchange_ = last_exchange_.next();
        const exchange_id id = last_exchange_;
        from.exchange = id;
        from.head_sent = false;
        from.chunked = false;
        from.told_to_continue = false;
        from.takes_chunks = from.reader->takes_chunks();
        from.keeps_connection = from.reader->keeps_connection();
        const request received = from.reader->take();
        from.reader.reset();
        from.answers_head_request = received.method == "HEAD";
        exchanges_.emplace(id, &from);
        handler_.on_request(id, received);
    }

    /// @return the head of the answer as it goes out
    std::string begin_answer(connection& to, const response_head& head,
                             std::optional<std::size_t> length)
    {
        to.head_sent = true;
        to.without_body = to.answers_head_request || has_no_body(head.status);
        to.chunked = !length.has_value() && to.takes_chunks;
        // Without a length and without chunks only the end of the connection ends the body.
        to.keeps_connection = to.keeps_connection && !closes_after_answers_ &&
                              (length.has_value() || to.takes_chunks || to.without_body);
        std::string text =
            core::concat("HTTP/1.1 ", head.status, " ", reason_of(head.status), "\r\n");
        for (const header& each : head.headers) {
            core::append(text, each.name, ": ", each.value, "\r\n");
        }
        if (length.has_value() && !has_no_body(head.status)) {
            core::append(text, "content-length: ", *length, "\r\n");
        }
        else if (to.chunked && !to.without_body) {
            text += "transfer-encoding: chunked\r\n";
        }
        if (!to.keeps_connection) {
            text += "connection: close\r\n";
        }
        text += "\r\n";
        return text;
    }

    void finish(connection& of)
    {
        exchanges_.erase(*of.exchange);
        of.exchange.reset();
        of.since = loop_.now();
        if (!of.keeps_connection || closes_after_answers_) {
            end_when_sent(of);
            return;
        }
        of.stream.start_reading();
        if (!of.stream.input().empty()) {
            // The next request has arrived already; the handler may not be called from within a
            // call of the owner.
            loop_.run_after(core::duration::zero(), [this, number = of.number] {
                const auto found = connections_.find(number);
                if (found != connections_.end()) {
                    read(*found->second);
                }
            });
        }
    }

    void end_when_sent(connection& of)
    {
        of.ending = true;
        of.since = loop_.now();
        if (of.stream.unsent() == 0) {
            // The owner may be in a callback of this connection: let that return first.
            loop_.run_after(core::duration::zero(),
                            [this, number = of.number] { connections_.erase(number); });
        }
    }

    /// Answers bytes that are no acceptable request, and closes.
    void refuse(connection& from, int status)
    {
        from.reader.reset();
        from.keeps_connection = false;
        from.answers_head_request = false;
        from.stream.write(begin_answer(from, response_head{status, {}}, 0));
        end_when_sent(from);
    }

    /// Closes a connection at once.
    /// @param tell whether the handler hears that its exchange has gone
    void drop(connection& gone, bool tell)
    {
        const std::optional<exchange_id> exchange = gone.exchange;
        const auto ended = connections_.extract(connection_number{gone.number});
        if (exchange.has_value()) {
            exchanges_.erase(*exchange);
            if (tell && !closing_) {
                handler_.on_gone(*exchange);
            }
        }
    }

    void check_limits_later()
    {
        limit_check_ = loop_.run_after(limit_check_period, [this] { check_limits(); });
    }

    void check_limits()
    {
        const core::instant now = loop_.now();
        for (auto each = connections_.begin(); each != connections_.end();) {
            const connection& checked = *each->second;
            const core::duration limit = checked.reader != nullptr || checked.ending
                                             ? settings_.get().request_limit
                                             : settings_.get().idle_limit;
            const bool over = !checked.exchange.has_value() && now - checked.since > limit;
            each = over ? connections_.erase(each) : std::next(each);
        }
        check_limits_later();
    }
};

absl::StatusOr<std::unique_ptr<server>> server::listen(task::event_loop& loop,
                                                       const core::socket_address& address,
                                                       const server_settings& settings,
                                                       server_handler& handler)
{
    auto made = std::make_unique<implementation>(loop, settings, handler);
    const absl::Status listening = made->listen(address);
    if (!listening.ok()) {
        return listening;
    }
    return std::unique_ptr<server>{new server{std::move(made)}};
}

server::server(std::unique_ptr<implementation> made) : implementation_{std::move(made)} {}

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

void server::close_after_answers()
{
    implementation_->close_after_answers();
}

void server::stop_accepting()
{
    implementation_->stop_accepting();
}

std::size_t server::open_exchanges() const
{
    return implementation_->open_exchanges();
}

} // namespace cyclamen::http
