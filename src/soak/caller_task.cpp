#include "soak/caller_task.hpp"

#include "core/log.hpp"
#include "core/text.hpp"
#include "soak/soak_documents.hpp"

namespace cyclamen::soak {

namespace {

constexpr core::duration unacknowledged_limit = std::chrono::seconds{10};
/// Time after the request timeout at which a caller that still has no answer gives up.
constexpr core::duration give_up_margin = std::chrono::seconds{1};
constexpr core::duration max_abandon_delay = std::chrono::milliseconds{400};
constexpr std::string_view sound_body = "body";
constexpr std::string_view id_field = "x-cyclamencourse-request-id";

} // namespace

/// One caller and its connection.
class caller_task::caller final : private http::stream_listener {
  public:
    explicit caller(caller_task& owner) : owner_{owner} {}
    ~caller() override { owner_.loop().cancel(timer_); }

    void schedule_next_request()
    {
        const auto max_pause_ms = static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(owner_.settings_.max_pause)
                .count());
        timer_ = owner_.loop().run_after(
            std::chrono::milliseconds{owner_.random_below(max_pause_ms) + 1},
            [this] { send_next(); });
    }

  private:
    /// A request that has not ended yet.
    struct open_call {
        std::string id;
        call_kind kind;
        std::string seed;
        std::uint64_t revision = 0;
        std::uint64_t last_event = 0;
        core::instant sent_at;
        std::string body;
        std::uint64_t process = 0;
        std::string deadly_trait;
    };

    caller_task& owner_;
    std::unique_ptr<http::tcp_stream> stream_;
    std::size_t instance_ = 0;
    bool connection_ended_ = false;
    std::unique_ptr<http::response_reader> reader_;
    std::optional<open_call> call_;
    /// An interrupted stream, to be resumed by the next request.
    std::optional<open_call> interrupted_;
    task::timer_id timer_;

    void send_next()
    {
        if (!owner_.sending_allowed_) {
            schedule_next_request();
            return;
        }
        if (stream_ == nullptr) {
            connect();
        }
        if (stream_ == nullptr) {
            schedule_next_request();
            return;
        }
        call_.emplace(next_call());
        reader_ = std::make_unique<http::response_reader>(false);
        stream_->write(encode(*call_));
        const bool abandons = owner_.random_below(1000) < owner_.settings_.abandon_fraction * 1000;
        const auto max_abandon_delay_ms = static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(max_abandon_delay).count());
        const core::duration limit = abandons ? core::duration{std::chrono::milliseconds{
                                                    owner_.random_below(max_abandon_delay_ms) + 1}}
                                              : owner_.settings_.request_timeout + give_up_margin;
        timer_ = owner_.loop().run_after(limit, [this] { finish_call(false, true); });
    }

    void connect()
    {
        instance_ = owner_.random_below(owner_.settings_.instances.size());
        auto stream = http::tcp_stream::connect(
            owner_.loop(), owner_.settings_.instances[instance_], unacknowledged_limit, *this);
        if (stream.ok()) {
            stream_ = *std::move(stream);
        }
    }

    open_call next_call()
    {
        ++owner_.last_request_number_;
        open_call next{
            .id = core::concat("r", owner_.settings_.seed, "-", owner_.last_request_number_),
            .sent_at = owner_.now(),
            .process = owner_.processes_[instance_]};
        if (interrupted_.has_value()) {
            next.kind = call_kind::stream;
            next.seed = interrupted_->seed;
            next.last_event = interrupted_->last_event;
            interrupted_.reset();
            return next;
        }
        if (owner_.settings_.deadly_fraction > 0 &&
            owner_.random_below(1000) < owner_.settings_.deadly_fraction * 1000) {
            return deadly_call(std::move(next));
        }
        next.kind = static_cast<call_kind>(owner_.random_below(4));
        next.seed =
            next.kind == call_kind::stream ? core::concat("part-", next.id, ":100") : next.id;
        next.revision = owner_.random_below(owner_.revision_) + 1;
        return next;
    }

    /// @return the call as one that crashes runners: by a prompt part that it shares with others,
    ///         or by its content
    open_call deadly_call(open_call next)
    {
        const std::uint64_t choice = owner_.random_below(3);
        next.kind = choice == 2 ? call_kind::unsafe : call_kind::stream;
        next.seed = choice == 2 ? next.id : core::concat("part-", next.id, ":100");
        if (choice == 0) {
            next.deadly_trait = deadly_part;
            next.seed = core::concat(deadly_part, ":50,", next.seed);
        }
        else {
            next.deadly_trait = deadly_body;
        }
        return next;
    }

    [[nodiscard]] std::string encode(const open_call& call) const
    {
        const caller_settings& settings = owner_.settings_;
        const std::string path = call.kind == call_kind::stream   ? "/s/x"
                                 : call.kind == call_kind::unsafe ? "/u/x"
                                 : call.kind == call_kind::safe
                                     ? "/r/x"
                                     : core::concat("/since-", call.revision, "/x");
        const bool is_read = call.kind == call_kind::safe || call.kind == call_kind::probe;
        const auto request_timeout_ms =
            std::chrono::duration_cast<std::chrono::milliseconds>(settings.request_timeout).count();
        std::string text =
            core::concat(is_read ? "GET " : "POST ", path, " HTTP/1.1\r\nhost: ", settings.host,
                         "\r\napi-key: ", settings.key, "\r\n", id_field, ": ", call.id,
                         "\r\nx-cyclamencourse-deadline-ms: ", request_timeout_ms, "\r\n");
        if (call.kind == call_kind::stream) {
            core::append(text, "x-cyclamencourse-model: m\r\n",
                         "x-cyclamencourse-token-counts: 100,600\r\n",
                         "x-cyclamencourse-prompt-prefix: ", call.seed, "\r\n");
        }
        if (call.last_event > 0) {
            core::append(text, "last-event-id: ", call.last_event, "\r\n");
        }
        const std::string_view body = call.deadly_trait == deadly_body ? deadly_body : sound_body;
        if (!is_read) {
            core::append(text, "content-length: ", body.size(), "\r\n\r\n", body);
        }
        else {
            text += "\r\n";
        }
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
            // The connection has been abandoned and is about to be closed.
            return;
        }
        if (!call_.has_value()) {
            // No request is open, so these bytes would be the answer to another one. The record
            // counts as a violation, because it is a success without a seal.
            owner_.record(call_record{"none", call_kind::safe, "", instance_, 0, 0, 0, owner_.now(),
                                      owner_.now(), 200, "", "", std::string{stream_->input()},
                                      true, false});
            close();
            return;
        }
        stream_->consume(reader_->feed(stream_->input()));
        call_->body += reader_->take_body();
        if (reader_->is_complete()) {
            finish_call(true, false);
        }
        else if (!reader_->error().ok()) {
            finish_call(false, false);
        }
    }

    void on_end(http::close_reason reason) override
    {
        if (stream_ == nullptr) {
            return;
        }
        connection_ended_ = true;
        if (!call_.has_value()) {
            close();
            return;
        }
        if (reason == http::close_reason::closed) {
            reader_->finish();
            call_->body += reader_->take_body();
        }
        finish_call(reader_->is_complete(), false);
    }

    /// Closes the connection. Its stream is destroyed later, because this may run within one of the
    /// stream's own callbacks.
    void close()
    {
        owner_.loop().run_after(core::duration::zero(), [stream = std::shared_ptr<http::tcp_stream>{
                                                             std::move(stream_)}] {});
        connection_ended_ = false;
    }

    void finish_call(bool complete, bool abandoned)
    {
        owner_.loop().cancel(timer_);
        const open_call ended = *std::move(call_);
        call_.reset();
        const bool has_answer = reader_->has_head();
        const http::response_head head = has_answer ? reader_->head() : http::response_head{0, {}};
        owner_.record(call_record{
            ended.id, ended.kind, ended.seed, instance_, ended.process, ended.revision,
            ended.last_event, ended.sent_at, owner_.now(), head.status,
            std::string{http::find_header(head.headers, id_field)},
            std::string{http::find_header(head.headers, "x-cyclamencourse-response-seal")},
            ended.body, complete, abandoned, ended.deadly_trait});
        const bool keep_open = complete && !connection_ended_ &&
                               http::find_header(head.headers, "connection") != "close";
        if (!keep_open) {
            close();
        }
        if (ended.kind == call_kind::stream && !complete && !abandoned &&
            ended.deadly_trait.empty()) {
            remember_interrupted(ended);
        }
        schedule_next_request();
    }

    void remember_interrupted(const open_call& ended)
    {
        interrupted_.emplace(ended);
        for (std::size_t end = ended.body.find("\n\n"); end != std::string::npos;
             end = ended.body.find("\n\n", end + 2)) {
            ++interrupted_->last_event;
        }
    }
};

caller_task::caller_task(caller_settings settings, task::outbox_ptr<call_record> records)
    : basic_task{"soak callers"}, settings_{std::move(settings)}, records_{std::move(records)},
      random_{settings_.seed}
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
        callers_.back()->schedule_next_request();
    }
    return absl::OkStatus();
}

void caller_task::on_message(const caller_update& message)
{
    revision_ = message.revision;
    processes_ = message.processes;
    sending_allowed_ = message.sending_allowed;
}

void caller_task::on_stop()
{
    callers_.clear();
}

void caller_task::record(call_record call)
{
    if (const absl::Status posted = records_->post(std::move(call)); !posted.ok()) {
        core::log_event(core::log_level::error, "record_lost",
                        {{"reason", std::string{posted.message()}}});
    }
}

} // namespace cyclamen::soak
