#include "soak/fault_proxy.hpp"

#include "http/tcp_stream.hpp"

namespace cyclamen::soak {

namespace {

constexpr core::duration unacknowledged_limit = std::chrono::seconds{30};
constexpr core::duration added_delay = std::chrono::milliseconds{120};

} // namespace

/// The connection of a client and the connection to the destination; bytes are forwarded between
/// them.
class fault_proxy::connection_pair {
  public:
    connection_pair(fault_proxy& owner, std::uint64_t number, st_h2o_socket_t* accepted)
        : owner_{owner}, number_{number}, client_side_{*this}, server_side_{*this}
    {
        client_side_.stream =
            std::make_unique<http::tcp_stream>(accepted, unacknowledged_limit, client_side_);
    }

    /// @return false if the destination can't be reached
    bool connect()
    {
        auto stream = http::tcp_stream::connect(owner_.loop(), owner_.destination_,
                                                unacknowledged_limit, server_side_);
        if (!stream.ok()) {
            return false;
        }
        server_side_.stream = *std::move(stream);
        client_side_.stream->start_reading();
        return true;
    }

    /// Forwards the bytes that have been received, as far as the mode allows.
    void forward_pending()
    {
        forward(client_side_, server_side_);
        forward(server_side_, client_side_);
    }

  private:
    struct side final : http::stream_listener {
        explicit side(connection_pair& pair) : owner{pair} {}

        connection_pair& owner;
        std::unique_ptr<http::tcp_stream> stream;
        bool ended = false;
        /// Number of delayed chunks that are still to be written to it.
        std::size_t delayed = 0;

        void on_bytes() override { owner.forward_pending(); }
        void on_sent() override { owner.remove_when_done(); }
        void on_end(http::close_reason /*end*/) override
        {
            ended = true;
            owner.forward_pending();
        }
    };

    fault_proxy& owner_;
    const std::uint64_t number_;
    side client_side_;
    side server_side_;
    bool removal_scheduled_ = false;

    void forward(side& from, side& to)
    {
        const proxy_mode mode = owner_.mode_;
        const bool blocked =
            mode == proxy_mode::cut || (mode == proxy_mode::one_way && &to == &client_side_);
        if (blocked) {
            return;
        }
        const std::string bytes{from.stream->input()};
        from.stream->consume(bytes.size());
        // Bytes must not overtake delayed ones.
        if (mode == proxy_mode::delay || to.delayed > 0) {
            ++to.delayed;
            owner_.loop().run_after(added_delay, [&owner = owner_, number = number_,
                                                  to_client = &to == &client_side_, bytes] {
                const auto found = owner.pairs_.find(number);
                if (found != owner.pairs_.end()) {
                    found->second->deliver(to_client, bytes);
                }
            });
            return;
        }
        if (!bytes.empty()) {
            to.stream->write(bytes);
        }
        remove_when_done();
    }

    static bool is_drained(const side& to) { return to.delayed == 0 && to.stream->unsent() == 0; }

    void deliver(bool to_client, const std::string& bytes)
    {
        side& to = to_client ? client_side_ : server_side_;
        --to.delayed;
        to.stream->write(bytes);
        remove_when_done();
    }

    /// Removes the pair once one side has ended and the other has received all bytes. The pair is
    /// destroyed later, because this may run within a callback of its streams.
    void remove_when_done()
    {
        const bool all_delivered = client_side_.ended
                                       ? is_drained(server_side_)
                                       : server_side_.ended && is_drained(client_side_);
        if (all_delivered && !removal_scheduled_) {
            removal_scheduled_ = true;
            owner_.loop().run_after(
                added_delay, [&owner = owner_, number = number_] { owner.remove_pair(number); });
        }
    }
};

fault_proxy::fault_proxy(core::socket_address listen, core::socket_address destination)
    : basic_task{"fault proxy"}, listen_{std::move(listen)}, destination_{std::move(destination)}
{
}

fault_proxy::~fault_proxy()
{
    stop();
}

absl::Status fault_proxy::on_start()
{
    auto acceptor = http::tcp_acceptor::listen(loop(), listen_, *this);
    if (!acceptor.ok()) {
        return acceptor.status();
    }
    acceptor_ = *std::move(acceptor);
    return absl::OkStatus();
}

void fault_proxy::on_message(const set_proxy_mode& command)
{
    mode_ = command.mode;
    if (mode_ == proxy_mode::reset) {
        pairs_.clear();
        return;
    }
    for (const auto& [number, pair] : pairs_) {
        pair->forward_pending();
    }
}

void fault_proxy::on_stop()
{
    acceptor_.reset();
    pairs_.clear();
}

void fault_proxy::on_accepted(st_h2o_socket_t* accepted)
{
    ++last_pair_;
    auto pair = std::make_unique<connection_pair>(*this, last_pair_, accepted);
    if (mode_ != proxy_mode::reset && pair->connect()) {
        pairs_.emplace(last_pair_, std::move(pair));
    }
}

void fault_proxy::remove_pair(std::uint64_t number)
{
    pairs_.erase(number);
}

} // namespace cyclamen::soak
