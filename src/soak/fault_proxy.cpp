#include "soak/fault_proxy.hpp"

#include "http/tcp_stream.hpp"

namespace cyclamen::soak {

namespace {

constexpr core::duration unacknowledged_limit = std::chrono::seconds{30};
constexpr core::duration added_delay = std::chrono::milliseconds{120};

} // namespace

/// Two connections whose bytes go from one to the other.
class fault_proxy::link {
  public:
    link(fault_proxy& owner, std::uint64_t number, st_h2o_socket_t* accepted)
        : owner_{owner}, number_{number}, near_{*this}, far_{*this}
    {
        near_.stream = std::make_unique<http::tcp_stream>(accepted, unacknowledged_limit, near_);
    }

    /// @return false where the other side can't be reached
    bool connect()
    {
        auto stream =
            http::tcp_stream::connect(owner_.loop(), owner_.to_, unacknowledged_limit, far_);
        if (!stream.ok()) {
            return false;
        }
        far_.stream = *std::move(stream);
        near_.stream->start_reading();
        return true;
    }

    /// Forwards what has waited.
    void go_on()
    {
        forward(near_, far_);
        forward(far_, near_);
    }

  private:
    struct side final : http::stream_listener {
        explicit side(link& whole) : owner{whole} {}

        link& owner;
        std::unique_ptr<http::tcp_stream> stream;
        bool ended = false;
        /// Parts that are on their way to it.
        std::size_t delayed = 0;

        void on_bytes() override { owner.go_on(); }
        void on_sent() override { owner.close_when_done(); }
        void on_end(http::close_reason /*end*/) override
        {
            ended = true;
            owner.go_on();
        }
    };

    fault_proxy& owner_;
    const std::uint64_t number_;
    side near_;
    side far_;
    bool closing_ = false;

    void forward(side& from, side& to)
    {
        const proxy_mode mode = owner_.mode_;
        const bool held = mode == proxy_mode::cut || (mode == proxy_mode::one_way && &to == &near_);
        if (held) {
            return;
        }
        const std::string bytes{from.stream->input()};
        from.stream->consume(bytes.size());
        // Bytes that follow delayed ones may not overtake them.
        if (mode == proxy_mode::delay || to.delayed > 0) {
            ++to.delayed;
            owner_.loop().run_after(
                added_delay, [&owner = owner_, number = number_, back = &to == &near_, bytes] {
                    const auto found = owner.links_.find(number);
                    if (found != owner.links_.end()) {
                        found->second->deliver(back, bytes);
                    }
                });
            return;
        }
        if (!bytes.empty()) {
            to.stream->write(bytes);
        }
        close_when_done();
    }

    static bool is_done(const side& to) { return to.delayed == 0 && to.stream->unsent() == 0; }

    void deliver(bool back, const std::string& bytes)
    {
        side& to = back ? near_ : far_;
        --to.delayed;
        to.stream->write(bytes);
        close_when_done();
    }

    /// A side that has ended ends the other one once everything has passed. The link may not be
    /// destroyed from within a call of its streams.
    void close_when_done()
    {
        const bool done = near_.ended ? is_done(far_) : far_.ended && is_done(near_);
        if (done && !closing_) {
            closing_ = true;
            owner_.loop().run_after(added_delay,
                                    [&owner = owner_, number = number_] { owner.drop(number); });
        }
    }
};

fault_proxy::fault_proxy(core::socket_address listen, core::socket_address to)
    : basic_task{"fault proxy"}, listen_{std::move(listen)}, to_{std::move(to)}
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
        links_.clear();
        return;
    }
    for (const auto& [number, each] : links_) {
        each->go_on();
    }
}

void fault_proxy::on_stop()
{
    acceptor_.reset();
    links_.clear();
}

void fault_proxy::on_accepted(st_h2o_socket_t* accepted)
{
    ++last_link_;
    auto made = std::make_unique<link>(*this, last_link_, accepted);
    if (mode_ != proxy_mode::reset && made->connect()) {
        links_.emplace(last_link_, std::move(made));
    }
}

void fault_proxy::drop(std::uint64_t link)
{
    links_.erase(link);
}

} // namespace cyclamen::soak
