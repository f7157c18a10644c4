#include "replica/replica_source.hpp"

#include <algorithm>

#include "core/log.hpp"

namespace cyclamen::replica {

const chart::vocabulary& source_vocabulary()
{
    static const chart::vocabulary words{
        {"settled", "store_answered", "tables_complete", "store_lost", "reader_answered",
         "reader_failed", "reader_due"},
        {"may_ask_reader", "may_ask_anyone", "store_answers", "reader_left", "returns_to_store",
         "reader_demoted", "may_await_reader", "former_source_left"},
        {"probe_store", "follow_store", "leave_store", "list_readers", "list_everyone", "ask_next",
         "ask_again", "take_news", "note_failure"},
        {"settle_time", "ask_limit", "feed_limit", "reader_pause"}};
    return words;
}

replica_source::replica_source(replica_source_settings settings,
                               std::shared_ptr<const chart::chart> definition,
                               replica_source_host& host)
    : settings_{std::move(settings)}, machine_{std::move(definition)}, host_{host},
      plan_{source_plan{true, {}}}
{
}

void replica_source::start(core::instant now)
{
    now_ = now;
    machine_.start(*this);
}

void replica_source::raise(source_event event, core::instant now)
{
    now_ = now;
    if (event == source_event::store_lost) {
        store_lost_at_ = now;
    }
    machine_.raise(static_cast<chart::symbol>(event), *this);
}

void replica_source::on_timer(core::instant now)
{
    now_ = now;
    for (auto event = timers_.take_expired(now); event.has_value();
         event = timers_.take_expired(now)) {
        if (static_cast<source_event>(*event) == source_event::reader_failed) {
            host_.cancel_question();
        }
        machine_.raise(*event, *this);
    }
}

void replica_source::set_members(std::vector<feed_peer> members)
{
    plan_.set(choose_sources(members, settings_.self, settings_.domain, settings_.choice));
}

bool replica_source::is_reader() const
{
    const source_plan& plan = plan_.get();
    if (!plan.readers.empty() || !plan.others.empty() || settings_.seeds.empty()) {
        return plan.reads_store;
    }
    return std::find(settings_.seeds.begin(), settings_.seeds.end(), settings_.feed) !=
           settings_.seeds.end();
}

std::vector<feed_peer> replica_source::known_readers() const
{
    std::vector<feed_peer> readers = plan_.get().readers;
    if (readers.empty()) {
        for (const core::socket_address& each : settings_.seeds) {
            if (each != settings_.feed) {
                readers.push_back(feed_peer{{}, {}, each, 0.0});
            }
        }
    }
    return readers;
}

void replica_source::list_readers()
{
    candidates_ = known_readers();
    while (candidates_.size() > settings_.max_readers_asked) {
        candidates_.pop_back();
    }
    next_ = 0;
    searched_at_ = now_;
}

void replica_source::list_everyone()
{
    std::vector<feed_peer> others;
    if (last_source_.has_value() && !is_reader(last_source_->get())) {
        others.push_back(last_source_->get());
    }
    list_readers();
    const std::vector<feed_peer>& rest = plan_.get().others;
    for (std::size_t i = 0; i < rest.size() && others.size() < settings_.max_others_asked; ++i) {
        const feed_peer& next = rest[next_other_++ % rest.size()];
        if (std::find(others.begin(), others.end(), next) == others.end()) {
            others.push_back(next);
        }
    }
    for (const feed_peer& each : others) {
        candidates_.push_back(each);
    }
}

bool replica_source::is_reader(const feed_peer& peer) const
{
    const std::vector<feed_peer>& readers = plan_.get().readers;
    return std::find(readers.begin(), readers.end(), peer) != readers.end();
}

bool replica_source::may_search() const
{
    return !searched_at_.has_value() || now_ - *searched_at_ >= settings_.search_pause;
}

bool replica_source::holds(chart::symbol guard) const
{
    switch (static_cast<source_guard>(guard)) {
    case source_guard::may_ask_reader:
        return !is_reader() && may_search();
    case source_guard::may_ask_anyone:
        return !known_readers().empty() && may_search();
    case source_guard::store_answers:
        return host_.store_answers();
    case source_guard::reader_left:
        return next_ < candidates_.size();
    case source_guard::returns_to_store:
        return is_reader() &&
               (!store_lost_at_.has_value() || now_ - *store_lost_at_ >= settings_.return_pause);
    case source_guard::former_source_left:
        return last_source_.has_value() &&
               std::find(candidates_.begin() + static_cast<std::ptrdiff_t>(next_),
                         candidates_.end(), last_source_->get()) != candidates_.end();
    case source_guard::may_await_reader:
        return host_.store_answers() && !is_reader() &&
               now_ - readers_missed_at_.value_or(now_) < settings_.max_reader_wait;
    case source_guard::reader_demoted:
        break;
    }
    return !plan_.get().readers.empty() && !is_reader(current_reader()) && may_search();
}

void replica_source::perform(chart::symbol action)
{
    switch (static_cast<source_action>(action)) {
    case source_action::probe_store:
        host_.follow_store(store_scope::first_table);
        break;
    case source_action::follow_store:
        readers_missed_at_.reset();
        host_.follow_store(store_scope::all_tables);
        break;
    case source_action::leave_store:
        host_.follow_store(store_scope::nothing);
        core::log_event(core::log_level::info, "reader_followed",
                        {{"reader", current_reader().name.str()},
                         {"address", core::to_string(current_reader().feed)},
                         {"reads_store", plan_.get().reads_store}});
        break;
    case source_action::list_readers:
        list_readers();
        break;
    case source_action::list_everyone:
        list_everyone();
        break;
    case source_action::ask_next:
        ++next_;
        host_.ask(current_reader(), core::duration::zero());
        break;
    case source_action::ask_again:
        host_.ask(current_reader(), settings_.feed_wait);
        break;
    case source_action::take_news:
        last_source_.emplace(current_reader());
        readers_missed_at_.reset();
        host_.apply_answer();
        break;
    case source_action::note_failure:
        readers_missed_at_ = readers_missed_at_.value_or(now_);
        core::log_event(core::log_level::info, "reader_lost",
                        {{"reader", current_reader().name.str()},
                         {"address", core::to_string(current_reader().feed)},
                         {"asked", next_},
                         {"listed", candidates_.size()}});
        break;
    }
}

void replica_source::start_timer(chart::state_timeout timeout)
{
    core::duration length = settings_.answer_limit;
    switch (static_cast<source_timeout>(timeout.timeout)) {
    case source_timeout::reader_pause:
        length = settings_.reader_pause;
        break;
    case source_timeout::settle_time:
        length = settings_.settle_time;
        break;
    case source_timeout::ask_limit:
        break;
    case source_timeout::feed_limit:
        length += settings_.feed_wait;
        break;
    }
    timers_.start(timeout, now_ + length);
}

void replica_source::stop_timer(chart::state_timeout timeout)
{
    timers_.stop(timeout);
}

} // namespace cyclamen::replica
