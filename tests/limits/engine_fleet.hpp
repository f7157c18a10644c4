#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <tuple>
#include <vector>

#include "core/time.hpp"
#include "limits/engine_admission.hpp"

namespace cyclamen::test {

using namespace std::chrono_literals;

/// Load pattern: streams a second at each instant, and engines that are away for a while.
struct engine_load_pattern {
    const std::function<double(double)> streams_per_second;
    /// Engines 0 to away_engines are away between two instants, in seconds.
    const std::size_t away_engines = 0;
    const double away_from = 0.0;
    const double away_until = 0.0;
    /// Fraction of streams that are urgent and have a goal of 4 s; the others have one of 10 s. All
    /// have the fleet's goal and no kind if it is empty.
    const std::function<double(double)> urgent_fraction = {};
    /// Engines and instances know the urgency of streams.
    const bool ordered = false;
};

/// Kinds of streams.
enum class stream_kind { any, urgent, patient };

/// What became of a stream.
struct stream_result {
    const double arrived;
    const bool refused;
    /// Time to the first event in seconds, if there was one.
    const std::optional<double> first_event;
    /// Longest pause between two events in seconds.
    const double longest_pause;
};

/// Engines that batch requests continuously, and instances that place streams on them by reports
/// that are 100 ms old. Simulated in steps of one millisecond.
class engine_fleet {
  public:
    static constexpr std::size_t engine_count = 18;
    static constexpr std::size_t instance_count = 12;
    static constexpr std::uint32_t slots = 64;
    static constexpr std::uint64_t memory_tokens = 55000;
    static constexpr std::uint64_t prompt_tokens = 5000;
    static constexpr std::uint64_t output_tokens = 650;
    static constexpr core::duration goal = 4500ms;
    /// Longest pause between two events of a stream that is on time.
    static constexpr double max_pause = 0.7;

    using policy_factory = std::function<std::unique_ptr<limits::start_policy>()>;

    explicit engine_fleet(const policy_factory& make_policy)
    {
        for (std::size_t i = 0; i < instance_count; ++i) {
            policies_.push_back(make_policy());
            admissions_.push_back(std::make_unique<limits::engine_admission>(make_policy));
        }
        unread_.assign(instance_count, std::vector<std::uint64_t>(engine_count, 0));
    }

    /// Plays a load pattern.
    void run(const engine_load_pattern& pattern, double seconds)
    {
        double due = 0.0;
        for (now_ms_ = 0; now_ms_ < static_cast<std::uint64_t>(seconds * 1000.0); ++now_ms_) {
            const double now = now_seconds();
            ordered_ = pattern.ordered;
            set_away(pattern, now);
            if (now_ms_ % report_period_ms == 0) {
                publish_reports();
            }
            for (due += pattern.streams_per_second(now) / 1000.0; due >= 1.0; due -= 1.0) {
                arrive();
                if (pattern.urgent_fraction) {
                    set_kind(*streams_.back(), pattern.urgent_fraction(now));
                }
                place(*streams_.back());
            }
            for (std::size_t each = 0; each < engine_count; ++each) {
                advance(engines_[each]);
            }
            retry_waiting();
        }
    }

    /// @return streams that arrived in a time span and were on time
    [[nodiscard]] std::size_t on_time(double from, double until) const
    {
        return count(from, until, [](const stream& each) { return is_on_time(each); });
    }
    [[nodiscard]] std::size_t refused(double from, double until) const
    {
        return count(from, until, [](const stream& each) { return each.refused; });
    }
    [[nodiscard]] std::size_t arrived(double from, double until) const
    {
        return count(from, until, [](const stream&) { return true; });
    }
    /// @return streams of a kind that arrived in a time span and were on time
    [[nodiscard]] double on_time_fraction(stream_kind kind, double from, double until) const
    {
        const auto is_of_kind = [&](const stream& each) {
            return kind == stream_kind::any || each.kind == kind;
        };
        const std::size_t good = count(
            from, until, [&](const stream& each) { return is_of_kind(each) && is_on_time(each); });
        const std::size_t all = count(from, until, is_of_kind);
        return all == 0 ? 1.0 : static_cast<double>(good) / static_cast<double>(all);
    }
    [[nodiscard]] std::size_t preempted() const { return preempted_; }
    /// @return refused streams that arrived in a time span, by whether their prompt is long
    [[nodiscard]] double served_fraction(bool long_prompts) const
    {
        double served = 0.0;
        double all = 0.0;
        for (const auto& each : streams_) {
            if ((each->prompt > prompt_tokens) == long_prompts) {
                ++all;
                served += each->first_event >= 0.0 ? 1.0 : 0.0;
            }
        }
        return served / all;
    }

  private:
    static constexpr std::uint64_t report_period_ms = 100;
    static constexpr std::uint64_t pause_ms = 50;
    static constexpr double step_ms = 6.0;
    static constexpr double chunk_tokens = 125.0;
    static constexpr double chunk_ms = 25.0;
    static constexpr std::size_t surveyed = 3;
    /// Maximum number of streams of an instance that wait for room.
    static constexpr std::ptrdiff_t max_waiting = 1;
    /// Time for which an instance looks for an engine, in seconds.
    static constexpr double max_search = 1.35;

    struct stream {
        std::uint64_t prompt;
        std::uint64_t number = 0;
        double arrived;
        std::size_t instance;
        bool refused = false;
        stream_kind kind = stream_kind::any;
        core::duration goal = engine_fleet::goal;
        double first_event = -1.0;
        double last_event = -1.0;
        double longest_pause = 0.0;
        bool done = false;
        double read = 0.0;
        double written = 0.0;
        std::optional<std::size_t> engine;
        std::optional<std::size_t> copy_at;
        double opened = 0.0;
        std::unique_ptr<const limits::engine_load> load_at_start;
    };

    struct engine {
        std::deque<stream*> queue;
        std::vector<stream*> running;
        double step_left = 0.0;
        double copies = 0.0;
        bool away = false;
        std::unique_ptr<const limits::engine_load> report;
        /// Reported tokens of urgent and of patient runs, and the number of the latter.
        std::tuple<std::uint64_t, std::uint64_t, std::uint32_t> kinds{};

        [[nodiscard]] std::uint32_t reading() const
        {
            return static_cast<std::uint32_t>(
                std::count_if(running.begin(), running.end(), [](const stream* each) {
                    return each->read < static_cast<double>(each->prompt);
                }));
        }

        [[nodiscard]] double used() const
        {
            double tokens = copies;
            for (const stream* each : running) {
                tokens += static_cast<double>(each->prompt) + each->written;
            }
            return tokens;
        }
    };

    std::uint64_t now_ms_ = 0;
    std::vector<std::unique_ptr<limits::start_policy>> policies_;
    std::vector<std::vector<std::uint64_t>> unread_;
    engine engines_[engine_count];
    std::vector<std::unique_ptr<stream>> streams_;
    std::vector<stream*> waiting_;
    std::mt19937_64 random_{20261205};
    std::size_t preempted_ = 0;
    bool ordered_ = false;
    std::vector<std::unique_ptr<limits::engine_admission>> admissions_;
    const core::service_name service_{"engines"};

    [[nodiscard]] double now_seconds() const { return static_cast<double>(now_ms_) / 1000.0; }

    static bool is_on_time(const stream& each)
    {
        return each.done && each.first_event - each.arrived <= core::to_seconds(each.goal) &&
               each.longest_pause <= max_pause;
    }

    template <class Condition>
    [[nodiscard]] std::size_t count(double from, double until, Condition condition) const
    {
        return static_cast<std::size_t>(
            std::count_if(streams_.begin(), streams_.end(), [&](const auto& each) {
                return each->arrived >= from && each->arrived < until && condition(*each);
            }));
    }

    void set_away(const engine_load_pattern& pattern, double now)
    {
        for (std::size_t i = 0; i < pattern.away_engines; ++i) {
            const bool away = now >= pattern.away_from && now < pattern.away_until;
            if (away && !engines_[i].away) {
                lose(engines_[i]);
            }
            engines_[i].away = away;
        }
    }

    /// Runs with a copy go on at its holder, the others start anew.
    void lose(engine& lost)
    {
        std::vector<stream*> resumed;
        resumed.insert(resumed.end(), lost.running.begin(), lost.running.end());
        resumed.insert(resumed.end(), lost.queue.begin(), lost.queue.end());
        lost.running.clear();
        lost.queue.clear();
        for (stream* each : resumed) {
            release(*each);
            const bool has_copy = each->copy_at.has_value() && !engines_[*each->copy_at].away &&
                                  &engines_[*each->copy_at] != &lost && each->written > 0.0;
            each->read = has_copy ? static_cast<double>(each->prompt) : 0.0;
            const std::size_t target =
                has_copy ? *each->copy_at : 6 + random_() % (engine_count - 6);
            drop_copy(*each);
            each->engine = target;
            engines_[target].queue.push_front(each);
        }
    }

    void drop_copy(stream& of)
    {
        if (of.copy_at.has_value()) {
            engines_[*of.copy_at].copies -= static_cast<double>(of.prompt);
            of.copy_at.reset();
        }
    }

    void publish_reports()
    {
        for (engine& each : engines_) {
            each.report = std::make_unique<const limits::engine_load>(limits::engine_load{
                static_cast<std::uint32_t>(each.queue.size()) + each.reading(),
                static_cast<std::uint32_t>(each.running.size()) - each.reading(), 0,
                static_cast<std::uint64_t>(each.used()), memory_tokens, slots});
            each.kinds = {};
            for (const stream* run : each.running) {
                const auto tokens = run->prompt + static_cast<std::uint64_t>(run->written);
                auto& [urgent_tokens, patient_tokens, patient_runs] = each.kinds;
                const bool patient = urgency_of(*run) > 0;
                (patient ? patient_tokens : urgent_tokens) += tokens;
                patient_runs += patient ? 1 : 0;
            }
        }
    }

    void arrive()
    {
        auto made = std::make_unique<stream>();
        // One stream in five has a long prompt.
        made->prompt = random_() % 5 == 0 ? prompt_tokens * 17 / 10 : prompt_tokens * 9 / 10;
        made->number = streams_.size() + 1;
        made->arrived = now_seconds();
        made->instance = random_() % instance_count;
        streams_.push_back(std::move(made));
    }

    [[nodiscard]] limits::engine_load load_of(std::size_t engine, std::size_t instance) const
    {
        const limits::engine_load& report = *engines_[engine].report;
        return limits::engine_load{
            report.waiting,     report.running,      unread_[instance][engine],
            report.memory_used, report.memory_total, report.slots};
    }

    [[nodiscard]] static limits::urgency_rank urgency_of(const stream& of)
    {
        return of.kind == stream_kind::patient ? 2 : 0;
    }

    void set_kind(stream& of, double urgent_fraction)
    {
        const bool urgent = static_cast<double>(random_() % 1000) < urgent_fraction * 1000.0;
        of.kind = urgent ? stream_kind::urgent : stream_kind::patient;
        of.goal = urgent ? 4000ms : 10000ms;
        if (ordered_) {
            admissions_[of.instance]->on_arrival(
                service_, limits::start_request{of.prompt, output_tokens, of.goal, 0ms, true, 0,
                                                urgency_of(of)});
        }
    }

    /// @return load_of(), with the memory of less and of more urgent streams
    [[nodiscard]] limits::engine_load load_for(const stream& placed, std::size_t engine) const
    {
        const limits::engine_load load = load_of(engine, placed.instance);
        const auto [urgent_tokens, patient_tokens, patient_runs] = engines_[engine].kinds;
        const bool urgent = urgency_of(placed) == 0;
        return limits::engine_load{load.waiting,
                                   load.running,
                                   load.unread_tokens,
                                   load.memory_used,
                                   load.memory_total,
                                   load.slots,
                                   urgent ? patient_tokens : 0,
                                   urgent ? patient_runs : 0,
                                   urgent ? 0 : urgent_tokens};
    }

    [[nodiscard]] double cost_of(std::size_t engine, std::size_t instance) const
    {
        const limits::engine_load load = load_of(engine, instance);
        return 5000.0 * load.waiting + 1500.0 * load.running +
               0.1 * static_cast<double>(load.memory_used) +
               static_cast<double>(load.unread_tokens);
    }

    void place(stream& placed)
    {
        std::vector<std::size_t> asked;
        while (asked.size() < surveyed) {
            const std::size_t each = random_() % engine_count;
            if (!engines_[each].away &&
                std::find(asked.begin(), asked.end(), each) == asked.end()) {
                asked.push_back(each);
            }
        }
        std::sort(asked.begin(), asked.end(), [&](std::size_t left, std::size_t right) {
            return cost_of(left, placed.instance) < cost_of(right, placed.instance);
        });
        const double waited = now_seconds() - placed.arrived;
        const limits::start_request request{placed.prompt,
                                            output_tokens,
                                            placed.goal,
                                            core::from_seconds(waited),
                                            waited < max_search && may_wait(placed),
                                            random_(),
                                            ordered_ ? std::optional{urgency_of(placed)}
                                                     : std::nullopt};
        const limits::engine_load load = load_for(placed, asked[0]);
        limits::start_policy& policy = *policies_[placed.instance];
        const limits::start_decision decision =
            ordered_ ? admissions_[placed.instance]->decide(service_, placed.number, request, load,
                                                            core::instant{now_ms_ * 1ms})
                     : policy.decide(request, load);
        if (decision.verdict == limits::start_verdict::start) {
            open(placed, asked[0], load);
            const bool has_room = std::any_of(asked.begin(), asked.end(), [&](std::size_t each) {
                return policy.has_room_for_copy(request, load_of(each, placed.instance));
            });
            if (has_room) {
                placed.copy_at = asked[1];
                engines_[asked[1]].copies += static_cast<double>(placed.prompt);
            }
        }
        else if (decision.verdict == limits::start_verdict::wait) {
            waiting_.push_back(&placed);
        }
        else {
            placed.refused = true;
        }
    }

    [[nodiscard]] bool may_wait(const stream& placed) const
    {
        return std::count_if(waiting_.begin(), waiting_.end(), [&](const stream* each) {
                   return each->instance == placed.instance;
               }) < max_waiting;
    }

    void open(stream& opened, std::size_t engine, const limits::engine_load& load)
    {
        opened.engine = engine;
        opened.opened = now_seconds();
        opened.load_at_start = std::make_unique<const limits::engine_load>(load);
        unread_[opened.instance][engine] += opened.prompt;
        enqueue(engines_[engine], opened, false);
    }

    void release(stream& released)
    {
        if (released.first_event < 0.0) {
            std::uint64_t& unread = unread_[released.instance][*released.engine];
            unread -= std::min(unread, released.prompt);
        }
    }

    void retry_waiting()
    {
        if (now_ms_ % pause_ms != 0) {
            return;
        }
        const std::vector<stream*> waiting = std::move(waiting_);
        waiting_.clear();
        for (stream* each : waiting) {
            place(*each);
        }
    }

    void advance(engine& each)
    {
        if (each.away) {
            return;
        }
        make_room(each);
        admit(each);
        each.step_left -= 1.0;
        if (each.step_left > 0.0 || each.running.empty()) {
            return;
        }
        const auto reading =
            std::find_if(each.running.begin(), each.running.end(), [](const stream* run) {
                return run->read < static_cast<double>(run->prompt);
            });
        each.step_left = step_ms;
        const std::vector<stream*> running = each.running;
        if (reading != each.running.end()) {
            (*reading)->read += chunk_tokens;
            each.step_left += chunk_ms;
        }
        for (stream* run : running) {
            if (run->read >= static_cast<double>(run->prompt)) {
                write(each, *run);
            }
        }
        while (each.used() > static_cast<double>(memory_tokens) && each.running.size() > 1) {
            preempt(each);
        }
    }

    /// Preempts the newest of the least urgent streams.
    void preempt(engine& each)
    {
        std::size_t at = each.running.size() - 1;
        for (std::size_t i = each.running.size(); ordered_ && i-- > 0;) {
            at = urgency_of(*each.running[i]) > urgency_of(*each.running[at]) ? i : at;
        }
        stream* yielding = each.running[at];
        each.running.erase(each.running.begin() + static_cast<std::ptrdiff_t>(at));
        yielding->read = 0.0;
        enqueue(each, *yielding, true);
        ++preempted_;
    }

    void enqueue(engine& at, stream& added, bool first)
    {
        const auto place = std::find_if(at.queue.begin(), at.queue.end(), [&](const stream* each) {
            return ordered_ && (first ? urgency_of(*each) >= urgency_of(added)
                                      : urgency_of(*each) > urgency_of(added));
        });
        at.queue.insert(!ordered_ && first ? at.queue.begin() : place, &added);
    }

    /// Makes room for the first stream of the queue if less urgent ones have it.
    void make_room(engine& each)
    {
        while (ordered_ && !each.queue.empty() &&
               each.used() + static_cast<double>(each.queue.front()->prompt) >
                   static_cast<double>(memory_tokens) &&
               std::any_of(each.running.begin(), each.running.end(), [&](const stream* run) {
                   return urgency_of(*run) > urgency_of(*each.queue.front());
               })) {
            preempt(each);
        }
    }

    void admit(engine& each)
    {
        while (!each.queue.empty() && each.running.size() < slots &&
               each.used() + static_cast<double>(each.queue.front()->prompt) <=
                   static_cast<double>(memory_tokens)) {
            each.running.push_back(each.queue.front());
            each.queue.pop_front();
        }
    }

    void write(engine& each, stream& run)
    {
        const double now = now_seconds();
        if (run.first_event < 0.0) {
            release(run);
            run.first_event = now;
            const limits::start_observation seen{run.prompt, *run.load_at_start,
                                                 core::from_seconds(now - run.opened)};
            policies_[run.instance]->on_first_event(seen);
            admissions_[run.instance]->on_first_event(service_, seen);
        }
        else {
            run.longest_pause = std::max(run.longest_pause, now - run.last_event);
        }
        run.last_event = now;
        run.written += 1.0;
        if (run.written >= static_cast<double>(output_tokens)) {
            run.done = true;
            drop_copy(run);
            std::erase(each.running, &run);
            policies_[run.instance]->on_finished(core::from_seconds(now - run.first_event));
            admissions_[run.instance]->on_finished(service_,
                                                   core::from_seconds(now - run.first_event));
        }
    }
};

} // namespace cyclamen::test
