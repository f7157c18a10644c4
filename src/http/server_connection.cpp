#include "http/server_connection.hpp"

#include <algorithm>
#include <bit>
#include <numeric>

namespace cyclamen::http::detail {

namespace {

/// Memory of a parsed header field beside its text, in a list that grows by doubling.
constexpr std::size_t field_bytes = 2 * sizeof(header);

/// Time without progress after which output counts as unread.
constexpr core::duration unread_time = std::chrono::seconds{5};

std::size_t size_of(const request& held)
{
    return std::accumulate(held.headers.begin(), held.headers.end(),
                           held.path.size() + held.body.size(),
                           [](std::size_t sum, const header& field) {
                               return sum + sizeof(header) + field.name.size() + field.value.size();
                           });
}

} // namespace

server_connection::server_connection(connection_owner& owner, connection_number own,
                                     st_h2o_socket_t* accepted, const server_settings& settings,
                                     std::shared_ptr<limits::memory_ledger> ledger,
                                     core::instant now)
    : number{own}, stream{accepted, settings.unacknowledged_timeout,
                          static_cast<stream_listener&>(*this)},
      waiting_since{now}, progressed_at{now}, owner_{owner}, ledger_{std::move(ledger)},
      holder_{ledger_->open(static_cast<limits::memory_holder&>(*this))},
      request_timeout_{settings.request_timeout}, idle_timeout_{settings.idle_timeout}
{
}

server_connection::~server_connection()
{
    ledger_->close(holder_);
}

void server_connection::feed_reader(const server_settings& settings, core::instant now)
{
    if (reader == nullptr) {
        reader = std::make_unique<request_reader>(settings.messages);
        request_bytes = 0;
        field_lines_ = 0;
        begin_wait(settings, now);
    }
    const bool had_head = reader->has_head();
    const std::size_t used = reader->feed(stream.input());
    if (!had_head) {
        const std::string_view head =
            stream.input().substr(0, std::min(used, settings.messages.max_header_bytes));
        field_lines_ += static_cast<std::size_t>(std::count(head.begin(), head.end(), '\n'));
    }
    stream.consume(used);
    request_bytes += used;
}

request server_connection::take_request()
{
    request received = reader->take();
    reader.reset();
    request_bytes = size_of(received);
    return received;
}

void server_connection::count_memory(core::instant now)
{
    std::size_t input = stream.input_memory();
    if (reader != nullptr) {
        // The text of a body grows by doubling.
        input += std::bit_ceil(request_bytes) + field_lines_ * field_bytes;
    }
    else if (exchange.has_value()) {
        input += request_bytes;
    }
    const std::size_t output = stream.unsent();
    ledger_->set(holder_,
                 {.input = input,
                  .output = output,
                  .output_slack = std::max(stream.output_memory(), output) - output,
                  .is_stream = exchange.has_value() && head_sent},
                 now);
}

void server_connection::begin_wait(const server_settings& settings, core::instant now)
{
    waiting_since = now;
    progressed_at = now;
    request_timeout_ = settings.request_timeout;
    idle_timeout_ = settings.idle_timeout;
}

bool server_connection::is_expired(const server_settings& settings, core::instant now) const
{
    if (exchange.has_value()) {
        return false;
    }
    const bool transfers = reader != nullptr || close_when_sent || stream.unsent() > 0;
    const core::duration timeout = transfers ? std::max(request_timeout_, settings.request_timeout)
                                             : std::max(idle_timeout_, settings.idle_timeout);
    // Bytes that have arrived but were not read yet may complete a request. They don't count while
    // the peer doesn't read its answers.
    return now - waiting_since > timeout &&
           (close_when_sent || !may_read() || !stream.has_unread_bytes());
}

bool server_connection::is_idle() const
{
    return !exchange.has_value() && reader == nullptr && !close_when_sent && stream.input().empty();
}

bool server_connection::sends_ahead() const
{
    return !exchange.has_value() && (!may_read() || (reader == nullptr && !stream.input().empty()));
}

bool server_connection::may_be_displaced(core::instant now) const
{
    if (exchange.has_value()) {
        return false;
    }
    if (stream.unsent() > 0) {
        return now - progressed_at > unread_time;
    }
    return (reader != nullptr || stream.input().empty()) && !stream.has_unread_bytes();
}

} // namespace cyclamen::http::detail
