#include "replica/replica_task.hpp"

#include <algorithm>
#include <utility>

#include "core/log.hpp"

namespace cyclamen::replica {

namespace {

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_unavailable = 503;
constexpr std::string_view feed_path = "/feed";

/// Upper bound of the time for which a query is held, whatever it asks for.
constexpr core::duration max_wait = std::chrono::seconds{10};

} // namespace

absl::StatusOr<replica_charts> replica_charts::load(const chart::library& library)
{
    auto source = library.load("news_source", source_vocabulary());
    if (!source.ok()) {
        return source.status();
    }
    auto freshness = library.load("copy_freshness", freshness_vocabulary());
    if (!freshness.ok()) {
        return freshness.status();
    }
    return replica_charts{*std::move(source), *std::move(freshness)};
}

replica_task::replica_task(task::task_host& host, replica_settings settings,
                           const replica_charts& charts, replica_listener& listener,
                           std::shared_ptr<limits::memory_ledger> ledger)
    : basic_task{"replica", &host}, settings_{std::move(settings)}, ledger_{std::move(ledger)},
      listener_{listener}, source_{settings_.source, charts.source,
                                   static_cast<replica_source_host&>(*this)},
      freshness_{settings_.max_age, charts.freshness, static_cast<freshness_host&>(*this)},
      timer_{loop(), [this] {
                 source_.on_timer(now());
                 freshness_.on_timer(now());
                 pass_settled_rows();
                 answer_waiting_queries();
                 arm_timer();
             }}
{
    for (const std::string& each : settings_.tables) {
        copies_.emplace(each, table_copy{each});
        restored_.emplace(each, restored_rows{settings_.restore_settle_time});
    }
}

replica_task::~replica_task() = default;

void replica_task::connect(task::outbox_ptr<replica::follow_tables> store)
{
    store_.emplace(std::move(store), loop());
}

absl::Status replica_task::on_start()
{
    auto server = http::server::listen(
        loop(), settings_.feed, http::server_settings{.max_connections = settings_.max_connections},
        static_cast<http::server_handler&>(*this), ledger_);
    if (!server.ok()) {
        return server.status();
    }
    server_ = *std::move(server);
    const core::duration limit = settings_.source.answer_limit;
    questions_ =
        std::make_unique<http::buffered_client>(loop(), http::client_settings{limit, limit});
    freshness_.start();
    source_.start(now());
    arm_timer();
    return absl::OkStatus();
}

void replica_task::on_message(const replica_message& message)
{
    std::visit([this](const auto& each) { handle(each); }, message);
    answer_waiting_queries();
    arm_timer();
}

void replica_task::on_stop()
{
    timer_.cancel();
    server_.reset();
    questions_.reset();
}

void replica_task::handle(const store_answered& answer)
{
    const std::string& table = answer.update.table;
    const bool changed = apply(answer.update);
    if (table == settings_.tables.front()) {
        confirm({}, now());
    }
    answered_tables_.insert(table);
    if (table == settings_.member_table && changed) {
        peers_pending_ = true;
    }
    if (table == settings_.tables.front() && probing_) {
        update_followed_tables();
    }
    report_store_answer();
    if (answered_tables_.size() == copies_.size()) {
        source_.raise(source_event::tables_complete, now());
    }
}

bool replica_task::knows_peers() const
{
    return settings_.member_table.empty() || !peers_.empty() ||
           (answered_tables_.contains(settings_.member_table) && !peers_pending_);
}

void replica_task::report_store_answer()
{
    if (scope_ != store_scope::first_table || (store_answers() && knows_peers())) {
        source_.raise(source_event::store_answered, now());
    }
}

void replica_task::handle(const store_failed& failure)
{
    answered_tables_.erase(failure.table);
    source_.raise(source_event::store_lost, now());
}

void replica_task::handle(const peers_listed& update)
{
    if (update.complete) {
        peers_.clear();
    }
    for (const core::instance_name& each : update.gone) {
        peers_.erase(each);
    }
    for (const feed_peer& each : update.present) {
        peers_.erase(each.name);
        peers_.emplace(each.name, each);
    }
    std::vector<feed_peer> members;
    for (const auto& [name, each] : peers_) {
        members.push_back(each);
    }
    source_.set_members(std::move(members));
    if (std::exchange(peers_pending_, false) && scope_ == store_scope::first_table) {
        report_store_answer();
    }
}

void replica_task::handle(const paces_observed& report)
{
    paces_.observe(report.paces, report.at, can_serve());
}

void replica_task::pass_paces()
{
    if (const auto changed = paces_.take_changes(now()); !changed.empty()) {
        listener_.on_paces(changed);
    }
}

void replica_task::on_request(http::exchange_id exchange, const http::request& received)
{
    const auto query = decode_feed_query(received.body);
    if (received.path != feed_path || !query.ok()) {
        server_->respond(exchange, http::response_head{status_bad_request, {}}, "");
        return;
    }
    if (!can_serve() || waiting_.size() >= settings_.max_waiting) {
        reject(exchange);
        return;
    }
    paces_.merge(query->paces, now());
    pass_paces();
    if (query->wait == core::duration::zero() || has_changes_for(*query)) {
        answer(exchange, *query);
    }
    else {
        waiting_.emplace(exchange, waiting_query{*query, now() + std::min(query->wait, max_wait)});
        arm_timer();
    }
}

void replica_task::on_disconnect(http::exchange_id exchange)
{
    waiting_.erase(exchange);
}

void replica_task::on_reader_answer(const absl::StatusOr<http::buffered_response>& answer)
{
    auto decoded = answer.ok() && answer->head.status == status_ok
                       ? decode_feed_answer(answer->body)
                       : absl::StatusOr<feed_answer>{
                             absl::UnavailableError("the reader did not answer with the tables")};
    if (decoded.ok()) {
        answer_ = std::make_unique<const feed_answer>(*std::move(decoded));
        source_.raise(source_event::reader_answered, now());
    }
    else {
        core::log_event(core::log_level::debug, "reader_refused",
                        {{"status", answer.ok() ? answer->head.status : 0},
                         {"reason", std::string{answer.status().message()}}});
        source_.raise(source_event::reader_failed, now());
    }
    answer_waiting_queries();
    arm_timer();
}

void replica_task::follow_store(store_scope scope)
{
    scope_ = scope;
    update_followed_tables();
}

void replica_task::probe_store(bool on)
{
    probing_ = on;
    update_followed_tables();
}

bool replica_task::is_followed(std::size_t table) const
{
    if (scope_ == store_scope::all_tables) {
        return true;
    }
    if (table == 0) {
        return probing_ || scope_ == store_scope::first_table;
    }
    // The other tables are read once the first one shows that the store answers.
    const bool is_probed = probing_ && table < settings_.probed_tables && store_answers();
    const bool lists_peers = settings_.tables[table] == settings_.member_table && peers_.empty();
    return is_probed || (scope_ == store_scope::first_table && lists_peers);
}

void replica_task::update_followed_tables()
{
    std::vector<table_state> wanted;
    for (std::size_t i = 0; i < settings_.tables.size(); ++i) {
        const std::string& table = settings_.tables[i];
        if (is_followed(i)) {
            wanted.push_back(table_state{table, copies_.at(table).version()});
        }
        else {
            answered_tables_.erase(table);
        }
    }
    store_->send(follow_tables{std::move(wanted), !source_.is_reader()});
}

bool replica_task::store_answers() const
{
    return answered_tables_.contains(settings_.tables.front());
}

void replica_task::ask(const feed_peer& reader, core::duration wait)
{
    cancel_question();
    asked_reader_.set(reader.name.empty() ? core::instance_name{core::to_string(reader.feed)}
                                          : reader.name);
    // No time limit here: the timers of the source apply.
    question_ = questions_->send(
        reader.feed,
        http::request{"POST",
                      std::string{feed_path},
                      {{"content-type", "application/x-protobuf"}},
                      encode(feed_query{known(), wait, paces_.take_unsent(now()),
                                        paces_.position_at(reader)})},
        std::nullopt, [this](const absl::StatusOr<http::buffered_response>& answer) {
            on_reader_answer(answer);
        });
}

void replica_task::apply_answer()
{
    const std::unique_ptr<const feed_answer> taken = std::move(answer_);
    for (const table_update& each : taken->tables) {
        apply(each);
    }
    paces_.apply(taken->paces, taken->pace_position, now());
    pass_paces();
    confirm(asked_reader_.get(), now() - taken->age);
}

void replica_task::cancel_question()
{
    questions_->cancel(question_);
}

bool replica_task::apply(const table_update& update)
{
    const auto copy = copies_.find(update.table);
    if (copy == copies_.end()) {
        return false;
    }
    const auto change = copy->second.apply(update);
    if (!change.has_value()) {
        return false;
    }
    if (change->restored) {
        core::log_event(core::log_level::warning, "table_restored",
                        {{"table", update.table},
                         {"version", core::to_string(update.version)},
                         {"rows", update.rows.size()},
                         {"changed", change->update.rows.size()},
                         {"revived", change->revived.size()}});
        listener_.on_restored(update);
    }
    const table_update passed = restored_.at(update.table).filter(*change, now());
    if (passed.complete || !passed.rows.empty()) {
        listener_.on_update(passed);
    }
    return true;
}

void replica_task::pass_settled_rows()
{
    for (auto& [table, rows] : restored_) {
        if (const auto settled = rows.take_settled(now()); settled.has_value()) {
            listener_.on_update(*settled);
        }
    }
}

void replica_task::confirm(const core::instance_name& source, core::instant at)
{
    if (freshness_.confirm(at, now())) {
        listener_.on_confirmed(source, at);
    }
}

std::vector<table_state> replica_task::known() const
{
    std::vector<table_state> states;
    for (const auto& [name, copy] : copies_) {
        states.push_back(table_state{name, copy.version()});
    }
    return states;
}

bool replica_task::can_serve() const
{
    return source_.reads_store();
}

bool replica_task::has_changes_for(const feed_query& query) const
{
    return std::any_of(query.known.begin(), query.known.end(), [&](const table_state& each) {
        const auto copy = copies_.find(each.table);
        return copy != copies_.end() && copy->second.has_changes_since(each.version);
    });
}

void replica_task::answer(http::exchange_id exchange, const feed_query& query)
{
    std::vector<table_update> updates;
    for (const table_state& each : query.known) {
        if (const auto copy = copies_.find(each.table); copy != copies_.end()) {
            updates.push_back(copy->second.changes_since(each.version));
        }
    }
    pace_changes paces = paces_.changes_since(query.pace_position, now());
    server_->respond(exchange,
                     http::response_head{status_ok, {{"content-type", "application/x-protobuf"}}},
                     encode(feed_answer{std::move(updates),
                                        freshness_.age(now()).value_or(core::duration::zero()),
                                        std::move(paces.paces), paces.position}));
}

void replica_task::reject(http::exchange_id exchange)
{
    server_->respond(exchange, http::response_head{status_unavailable, {}}, "");
}

void replica_task::answer_waiting_queries()
{
    const bool serves = can_serve();
    for (auto entry = waiting_.begin(); entry != waiting_.end();) {
        const waiting_query& waiting = entry->second;
        const bool can_answer = waiting.deadline <= now() || has_changes_for(waiting.query);
        if (serves && !can_answer) {
            ++entry;
            continue;
        }
        if (serves) {
            answer(entry->first, waiting.query);
        }
        else {
            reject(entry->first);
        }
        entry = waiting_.erase(entry);
    }
}

void replica_task::arm_timer()
{
    std::optional<core::instant> deadline = source_.next_deadline();
    if (const auto outdated = freshness_.next_deadline(); outdated.has_value()) {
        deadline = std::min(deadline.value_or(*outdated), *outdated);
    }
    for (const auto& [table, rows] : restored_) {
        if (const auto settled = rows.next_deadline(); settled.has_value()) {
            deadline = std::min(deadline.value_or(*settled), *settled);
        }
    }
    for (const auto& [exchange, waiting] : waiting_) {
        deadline = std::min(deadline.value_or(waiting.deadline), waiting.deadline);
    }
    timer_.set(deadline);
}

} // namespace cyclamen::replica
