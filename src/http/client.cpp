#include "http/client.hpp"

#include <map>

#include "core/error.hpp"
#include "core/text.hpp"
#include "http/message_reader.hpp"
#include "http/tcp_stream.hpp"

namespace cyclamen::http {

namespace {

std::string encode_request(const core::socket_address& address, const request& sent)
{
    std::string text = core::concat(sent.method, " ", sent.path, " HTTP/1.1\r\n");
    if (sent.find_header("host").empty()) {
        core::append(text, "host: ", core::to_string(address), "\r\n");
    }
    text += "connection: close\r\n";
    for (const header& field : sent.headers) {
        core::append(text, field.name, ": ", field.value, "\r\n");
    }
    if (!sent.body.empty() || sent.method == "POST" || sent.method == "PUT") {
        core::append(text, "content-length: ", sent.body.size(), "\r\n");
    }
    text += "\r\n";
    text += sent.body;
    return text;
}

absl::Status connection_error(std::string_view problem)
{
    return core::make_error(core::error_kind::unavailable, problem, "try another target");
}

/// The error of a server that nobody listens for.
absl::Status refused_error()
{
    return core::make_error(core::error_kind::not_found, "not connected", "try another target");
}

} // namespace

/// Owns the connections of a client.
class client::implementation {
  public:
    implementation(task::event_loop& loop, client_listener& listener, client_settings settings)
        : loop_{loop}, listener_{listener}, settings_{settings}
    {
    }

    ~implementation()
    {
        while (!exchanges_.empty()) {
            cancel(exchanges_.begin()->first);
        }
    }
    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    void start(exchange_id id, const core::socket_address& address, const request& sent)
    {
        auto created = std::make_unique<exchange>(*this, id, sent.method == "HEAD");
        auto stream =
            tcp_stream::connect(loop_, address, settings_.unacknowledged_timeout, *created);
        exchange& started = *exchanges_.emplace(id, std::move(created)).first->second;
        if (!stream.ok()) {
            // The listener must not be called from within start().
            started.connect_timer =
                loop_.run_after(core::duration::zero(),
                                [this, id, failure = stream.status()] { end(id, false, failure); });
            return;
        }
        started.stream = *std::move(stream);
        started.stream->write(encode_request(address, sent));
        started.connect_timer = loop_.run_after(settings_.connect_timeout, [this, id] {
            end(id, false, connection_error("connection timed out"));
        });
    }

    void cancel(exchange_id id)
    {
        const auto found = exchanges_.find(id);
        if (found != exchanges_.end()) {
            loop_.cancel(found->second->connect_timer);
            exchanges_.erase(found);
        }
    }

    [[nodiscard]] std::size_t open_exchanges() const { return exchanges_.size(); }

  private:
    struct exchange final : stream_listener {
        exchange(implementation& owning, exchange_id number, bool without_body)
            : owner{owning}, id{number}, reader{without_body}
        {
        }

        implementation& owner;
        const exchange_id id;
        response_reader reader;
        std::unique_ptr<tcp_stream> stream;
        task::timer_id connect_timer;
        bool connected = false;
        bool head_reported = false;

        void on_connected() override
        {
            connected = true;
            owner.loop_.cancel(connect_timer);
            owner.listener_.on_connected(id);
        }
        void on_bytes() override { owner.read(id); }
        void on_end(close_reason end) override
        {
            if (!connected) {
                owner.end(id, false, refused_error());
                return;
            }
            // A failed write takes the socket's error, and a read then sees an end like that of an
            // orderly close. A server in order has received the whole request before it closes.
            const bool orderly = end == close_reason::closed && stream->is_acknowledged();
            owner.read_last(id, orderly);
        }
    };

    task::event_loop& loop_;
    client_listener& listener_;
    const client_settings settings_;
    std::map<exchange_id, std::unique_ptr<exchange>> exchanges_;

    /// @return the exchange, or null if the listener has cancelled it
    exchange* find(exchange_id id)
    {
        const auto found = exchanges_.find(id);
        return found == exchanges_.end() ? nullptr : found->second.get();
    }

    void read(exchange_id id)
    {
        exchange& active = *find(id);
        active.stream->consume(active.reader.feed(active.stream->input()));
        report(id);
    }

    /// Handles the end of an established connection.
    /// @param id the exchange
    /// @param orderly true if the end of the connection may be that of a response
    void read_last(exchange_id id, bool orderly)
    {
        exchange& active = *find(id);
        active.stream->consume(active.reader.feed(active.stream->input()));
        if (orderly) {
            active.reader.finish();
        }
        report(id);
        if (find(id) != nullptr) {
            end(id, true, connection_error("connection reset"));
        }
    }

    /// Passes on what was read since the last call.
    void report(exchange_id id)
    {
        exchange* active = find(id);
        if (active->reader.has_head() && !active->head_reported) {
            active->head_reported = true;
            listener_.on_head(id, active->reader.head());
            active = find(id);
        }
        if (active == nullptr) {
            return;
        }
        const std::string body = active->reader.take_body();
        if (!body.empty()) {
            listener_.on_body(id, body);
            active = find(id);
        }
        if (active == nullptr) {
            return;
        }
        if (active->reader.is_complete() || !active->reader.error().ok()) {
            end(id, true, active->reader.error());
        }
    }

    void end(exchange_id id, bool sent, const absl::Status& status)
    {
        cancel(id);
        listener_.on_end(id, sent, status);
    }
};

client::client(task::event_loop& loop, client_listener& listener, client_settings settings)
    : implementation_{std::make_unique<implementation>(loop, listener, settings)}
{
}

client::~client() = default;

void client::start(exchange_id exchange, const core::socket_address& address, const request& sent)
{
    implementation_->start(exchange, address, sent);
}

void client::cancel(exchange_id exchange)
{
    implementation_->cancel(exchange);
}

std::size_t client::open_exchanges() const
{
    return implementation_->open_exchanges();
}

} // namespace cyclamen::http
