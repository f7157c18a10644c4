#include "soak/caller_task.hpp"

#include "core/log.hpp"
#include "core/text.hpp"

namespace cyclamen::soak {

namespace {

constexpr core::duration unacknowledged_limit = std::chrono::seconds{10};
/// Time after which a caller that waits for nothing any more gives up, beyond its patience.
constexpr core::duration give_up_margin = std::chrono::seconds{1};
constexpr core::duration longest_stay = std::chrono::milliseconds{400};
constexpr std::string_view id_field = "x-cyclamencourse-request-id";

} // namespace

/// One caller with its connection.
class caller_task::caller final : private http::stream_listener {
  public:
    explicit caller(caller_task& owner) : owner_{owner} {}
    ~caller() override { owner_.loop().cancel(timer_); }

    void pause()
    {
        const auto longest_ms = static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(owner_.settings_.longest_pause)
                .count());
        timer_ = owner_.loop().run_after(std::chrono::milliseconds{owner_.draw(longest_ms) + 1},
                                         [this] { send_next(); });
    }

  private:
    /// A request under way.
    struct open_call {
        std::string id;
        call_kind kind;
        std::string seed;
        std::uint64_t revision = 0;
        std::uint64_t after = 0;
        core::instant sent;
        std::string body;
        std::uint64_t process = 0;
    };

    caller_task& owner_;
    std::unique_ptr<http::tcp_stream> stream_;
    std::size_t instance_ = 0;
    bool ended_ = false;
    std::unique_ptr<http::response_reader> reader_;
    std::optional<open_call> call_;
    /// A stream that broke off, to be resumed.
    std::optional<open_call> broken_;
    task::timer_id timer_;

    void send_next()
    {
        if (!owner_.sending_) {
            pause();
            return;
        }
        if (stream_ == nullptr) {
            connect();
        }
        if (stream_ == nullptr) {
            pause();
            return;
        }
        call_.emplace(next_call());
        reader_ = std::make_unique<http::response_reader>(false);
        stream_->write(encode(*call_));
        const bool leaves = owner_.draw(1000) < owner_.settings_.leave_part * 1000;
        const auto stay_ms = static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(longest_stay).count());
        const core::duration limit =
            leaves ? core::duration{std::chrono::milliseconds{owner_.draw(stay_ms) + 1}}
                   : owner_.settings_.patience + give_up_margin;
        timer_ = owner_.loop().run_after(limit, [this] { end(false, true); });
    }

    void connect()
    {
        instance_ = owner_.draw(owner_.settings_.instances.size());
        auto stream = http::tcp_stream::connect(
            owner_.loop(), owner_.settings_.instances[instance_], unacknowledged_limit, *this);
        if (stream.ok()) {
            stream_ = *std::move(stream);
        }
    }

    open_call next_call()
    {
        ++owner_.last_request_;
        open_call made{.id = core::concat("r", owner_.settings_.seed, "-", owner_.last_request_),
                       .sent = owner_.now(),
                       .process = owner_.processes_[instance_]};
        if (broken_.has_value()) {
            made.kind = call_kind::stream;
            made.seed = broken_->seed;
            made.after = broken_->after;
            broken_.reset();
            return made;
        }
        made.kind = static_cast<call_kind>(owner_.draw(4));
        made.seed =
            made.kind == call_kind::stream ? core::concat("part-", made.id, ":100") : made.id;
        made.revision = owner_.draw(owner_.revision_) + 1;
        return made;
    }

    [[nodiscard]] std::string encode(const open_call& call) const
    {
        const caller_settings& settings = owner_.settings_;
        const std::string path = call.kind == call_kind::stream   ? "/s/x"
                                 : call.kind == call_kind::unsafe ? "/u/x"
                                 : call.kind == call_kind::safe
                                     ? "/r/x"
                                     : core::concat("/since-", call.revision, "/x");
        const bool reads = call.kind == call_kind::safe || call.kind == call_kind::probe;
        const auto patience_ms =
            std::chrono::duration_cast<std::chrono::milliseconds>(settings.patience).count();
        std::string text =
            core::concat(reads ? "GET " : "POST ", path, " HTTP/1.1\r\nhost: ", settings.host,
                         "\r\napi-key: ", settings.key, "\r\n", id_field, ": ", call.id,
                         "\r\nx-cyclamencourse-deadline-ms: ", patience_ms, "\r\n");
        if (call.kind == call_kind::stream) {
            core::append(text, "x-cyclamencourse-model: m\r\n",
                         "x-cyclamencourse-token-counts: 100,600\r\n",
                         "x-cyclamencourse-prompt-prefix: ", call.seed, "\r\n");
        }
        if (call.after > 0) {
            core::append(text, "last-event-id: ", call.after, "\r\n");
        }
        text += reads ? "\r\n" : "content-length: 4\r\n\r\nbody";
        return text;
    }

    void on_connected() override
    {
        if (stream_ != nullptr) {
            stream_->start_reading();
        }
    }

    void on_bytes() override
    {
        if (stream_ == nullptr) {
            // The connection was given up and waits for its end.
            return;
        }
        if (!call_.has_value()) {
            // Nothing was asked: an answer now would belong to another request.
            owner_.record(call_record{"none", call_kind::safe, "", instance_, 0, 0, 0, owner_.now(),
                                      owner_.now(), 200, "", "", std::string{stream_->input()},
                                      true, false});
            close();
            return;
        }
        stream_->consume(reader_->feed(stream_->input()));
        call_->body += reader_->take_body();
        if (reader_->is_complete()) {
            end(true, false);
        }
        else if (!reader_->error().ok()) {
            end(false, false);
        }
    }

    void on_end(http::close_reason end_kind) override
    {
        if (stream_ == nullptr) {
            return;
        }
        ended_ = true;
        if (!call_.has_value()) {
            close();
            return;
        }
        if (end_kind == http::close_reason::closed) {
            reader_->finish();
            call_->body += reader_->take_body();
        }
        end(reader_->is_complete(), false);
    }

    /// The streams of a connection may not be destroyed from within their calls.
    void close()
    {
        owner_.loop().run_after(core::duration::zero(),
                                [gone = std::shared_ptr<http::tcp_stream>{std::move(stream_)}] {});
        ended_ = false;
    }

    void end(bool whole, bool left)
    {
        owner_.loop().cancel(timer_);
        const open_call ended = *std::move(call_);
        call_.reset();
        const bool answered = reader_->has_head();
        const http::response_head head = answered ? reader_->head() : http::response_head{0, {}};
        owner_.record(call_record{
            ended.id, ended.kind, ended.seed, instance_, ended.process, ended.revision, ended.after,
            ended.sent, owner_.now(), head.status,
            std::string{http::find_header(head.headers, id_field)},
            std::string{http::find_header(head.headers, "x-cyclamencourse-response-seal")},
            ended.body, whole, left});
        const bool kept =
            whole && !ended_ && http::find_header(head.headers, "connection") != "close";
        if (!kept) {
            close();
        }
        if (ended.kind == call_kind::stream && !whole && !left) {
            remember_broken(ended);
        }
        pause();
    }

    void remember_broken(const open_call& ended)
    {
        broken_.emplace(ended);
        for (std::size_t end = ended.body.find("\n\n"); end != std::string::npos;
             end = ended.body.find("\n\n", end + 2)) {
            ++broken_->after;
        }
    }
};

caller_task::caller_task(caller_settings settings, task::outbox_ptr<call_record> records)
    : basic_task{"soak callers"}, settings_{std::move(settings)}, records_{std::move(records)},
      draw_{settings_.seed}
{
}

caller_task::~caller_task()
{
    stop();
}

absl::Status caller_task::on_start()
{
    processes_.assign(settings_.instances.size(), 0);
    for (std::size_t i = 0; i < settings_.callers; ++i) {
        callers_.push_back(std::make_unique<caller>(*this));
        callers_.back()->pause();
    }
    return absl::OkStatus();
}

void caller_task::on_message(const caller_news& message)
{
    revision_ = message.revision;
    processes_ = message.processes;
    sending_ = message.sending;
}

void caller_task::on_stop()
{
    callers_.clear();
}

void caller_task::record(call_record made)
{
    if (const absl::Status kept = records_->post(std::move(made)); !kept.ok()) {
        core::log_event(core::log_level::error, "record_lost",
                        {{"reason", std::string{kept.message()}}});
    }
}

} // namespace cyclamen::soak
