#include "soak/verdict.hpp"

#include <algorithm>
#include <map>
#include <set>

#include "core/text.hpp"
#include "relay/crash_evidence.hpp"
#include "relay/route_table.hpp"

namespace cyclamen::soak {

namespace {

using report_event = standin::runner_report::event;

constexpr int first_success = 200;
constexpr int first_redirect = 300;

/// True for statuses that guarantee that a request has not run and never will.
bool guarantees_not_run(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

bool is_success(int status)
{
    return status >= first_success && status < first_redirect;
}

/// Collects violations with the ids of their requests.
class violation_finder {
  public:
    violation_finder(const observations& observed, const guarantee_settings& guarantees)
        : observations_{observed}, guarantees_{guarantees}
    {
        for (const standin::runner_report& report : observed.reports) {
            reports_[report.request].push_back(&report);
        }
    }

    std::vector<std::string> run()
    {
        for (const call_record& call : observations_.calls) {
            check_answer(call);
            check_runs(call);
            check_cancel(call);
            check_end(call);
        }
        check_second_runs();
        check_crashes();
        check_drain();
        check_configuration();
        return std::move(violations_);
    }

  private:
    const observations& observations_;
    const guarantee_settings& guarantees_;
    std::map<std::string, std::vector<const standin::runner_report*>> reports_;
    std::vector<std::string> violations_;

    template <class... Parts>
    void add_violation(const Parts&... parts)
    {
        violations_.push_back(core::concat(parts...));
    }

    [[nodiscard]] bool is_undisturbed(core::instant from, core::instant to) const
    {
        return std::none_of(observations_.disturbances.begin(), observations_.disturbances.end(),
                            [&](const disturbance& each) {
                                return each.from <= to && each.to + guarantees_.settle_time >= from;
                            });
    }

    [[nodiscard]] bool was_paused(core::instant from, core::instant to) const
    {
        return std::any_of(
            observations_.pauses.begin(), observations_.pauses.end(),
            [&](const runner_pause& each) { return each.from <= to && each.to >= from; });
    }

    /// @return true if the runner was paused just as it was to hear that a request had ended
    [[nodiscard]] bool missed_end(const std::string& runner, core::instant at) const
    {
        return std::any_of(observations_.pauses.begin(), observations_.pauses.end(),
                           [&](const runner_pause& each) {
                               return each.runner == runner &&
                                      each.from >= at - guarantees_.close_time &&
                                      each.from <= at + guarantees_.close_time;
                           });
    }

    void check_answer(const call_record& call)
    {
        if (!is_success(call.status) || call.kind == call_kind::probe) {
            return;
        }
        if (call.seal.empty()) {
            add_violation("unsigned success: ", call.id);
        }
        if (call.kind == call_kind::stream) {
            check_stream(call);
        }
        else if (call.complete && call.body != standin::answer_content(call.seed, 0)) {
            add_violation("wrong body: ", call.id);
        }
        if (call.complete && call.answer_id != call.id) {
            add_violation("answer of another request: ", call.id, " got ", call.answer_id);
        }
    }

    void check_stream(const call_record& call)
    {
        std::uint64_t event_number = call.last_event;
        std::string_view rest = call.body;
        for (std::size_t end = rest.find("\n\n"); end != std::string_view::npos;
             end = rest.find("\n\n")) {
            ++event_number;
            const std::string expected_text = core::concat(
                "id: ", event_number, "\ndata: ", standin::answer_content(call.seed, event_number));
            if (rest.substr(0, end) != expected_text) {
                add_violation("stream out of order: ", call.id, " at event ", event_number);
                return;
            }
            rest.remove_prefix(end + 2);
        }
        if (call.complete && event_number != guarantees_.stream_events) {
            add_violation("stream ended as complete before its last event: ", call.id, " at event ",
                          event_number);
        }
    }

    [[nodiscard]] std::vector<const standin::runner_report*> runs_of(const std::string& id) const
    {
        std::vector<const standin::runner_report*> runs;
        const auto found = reports_.find(id);
        if (found != reports_.end()) {
            std::copy_if(found->second.begin(), found->second.end(), std::back_inserter(runs),
                         [](const auto* each) { return each->kind == report_event::began; });
        }
        return runs;
    }

    void check_runs(const call_record& call)
    {
        const auto runs = runs_of(call.id);
        if (call.kind == call_kind::unsafe && runs.size() > 1) {
            add_violation("ran twice: ", call.id);
        }
        if (guarantees_not_run(call.status) && call.kind == call_kind::unsafe && !runs.empty()) {
            add_violation("rejected although it has run: ", call.id, " status ", call.status);
        }
        const auto new_runs = std::count_if(runs.begin(), runs.end(),
                                            [](const auto* each) { return !each->from_copy; });
        if (static_cast<std::uint64_t>(new_runs) > guarantees_.max_runs) {
            add_violation("ran too often: ", call.id, " ", new_runs, " times");
        }
    }

    void check_cancel(const call_record& call)
    {
        const core::instant deadline = call.ended_at + guarantees_.cancel_limit;
        if (!call.abandoned || !is_undisturbed(call.sent_at, deadline) ||
            was_paused(call.sent_at, deadline)) {
            return;
        }
        const auto found = reports_.find(call.id);
        if (found == reports_.end()) {
            return;
        }
        std::int64_t open_runs = 0;
        for (const auto* report : found->second) {
            if (report->at <= deadline) {
                open_runs += report->kind == report_event::began ? 1 : -1;
            }
        }
        if (open_runs > 0) {
            add_violation("still running after its caller abandoned it: ", call.id);
        }
    }

    void check_end(const call_record& call)
    {
        if (guarantees_.completes_streams && call.kind == call_kind::stream &&
            is_success(call.status) && !call.complete && !call.abandoned) {
            add_violation("stream was cut: ", call.id);
        }
    }

    /// A run of a request, until it ended.
    struct run_span {
        std::string runner;
        core::instant began;
        core::instant ended;
    };

    [[nodiscard]] static std::vector<run_span>
    spans_of(const std::vector<const standin::runner_report*>& reports)
    {
        std::vector<run_span> spans;
        for (const standin::runner_report* report : reports) {
            if (report->kind == report_event::began) {
                spans.push_back(run_span{report->runner, report->at, core::instant::max()});
                continue;
            }
            const auto ended =
                std::find_if(spans.rbegin(), spans.rend(), [&](const run_span& each) {
                    return each.runner == report->runner && each.ended == core::instant::max();
                });
            if (ended != spans.rend()) {
                ended->ended = report->at;
            }
        }
        return spans;
    }

    /// A request must not go on at another runner while the one before still works on it.
    void check_second_runs()
    {
        std::set<std::string> abandoned;
        for (const call_record& call : observations_.calls) {
            if (call.abandoned) {
                abandoned.insert(call.id);
            }
        }
        for (const auto& [request, reports] : reports_) {
            const std::vector<run_span> spans = spans_of(reports);
            for (std::size_t next = 1; next < spans.size() && !abandoned.contains(request);
                 ++next) {
                const run_span& former = spans[next - 1];
                const core::instant limit = spans[next].began + guarantees_.second_run_limit;
                if (former.runner != spans[next].runner && former.ended > limit &&
                    spans[next].ended > limit && is_undisturbed(former.began, limit) &&
                    !missed_end(former.runner, spans[next].began)) {
                    add_violation("ran at two runners at once: ", request, ", at ", former.runner,
                                  " until ",
                                  core::to_milliseconds(former.ended - spans[next].began),
                                  " ms after its run at ", spans[next].runner, " began");
                }
            }
        }
    }

    using deadly_kind = std::pair<std::string, call_kind>;

    /// @return the crashes that each kind of deadly request has caused, in the order of time
    [[nodiscard]] std::map<deadly_kind, std::vector<core::instant>> find_crashes() const
    {
        std::map<std::string, deadly_kind> deadly;
        for (const call_record& call : observations_.calls) {
            if (!call.deadly_trait.empty()) {
                deadly.emplace(call.id, deadly_kind{call.deadly_trait, call.kind});
            }
        }
        std::map<deadly_kind, std::vector<core::instant>> crashes;
        for (const standin::runner_report& report : observations_.reports) {
            const auto found = deadly.find(report.request);
            if (report.kind == report_event::crashed && found != deadly.end()) {
                crashes[found->second].push_back(report.at);
            }
        }
        for (auto& [kind, times] : crashes) {
            std::sort(times.begin(), times.end());
        }
        return crashes;
    }

    /// Requests that crash nothing must not be refused for long because others do.
    void check_sound_requests(core::instant last_confusion)
    {
        for (const call_record& call : observations_.calls) {
            if (call.deadly_trait.empty() && call.ended_at > last_confusion &&
                call.body.find(relay::quarantine_problem) != std::string::npos) {
                add_violation("sound request quarantined: ", call.id);
            }
        }
    }

    void check_crashes()
    {
        const auto crashes = find_crashes();
        core::instant last_confusion{};
        for (const auto& [kind, times] : crashes) {
            const core::instant last_counted =
                times[std::min(times.size(), guarantees_.deadly_crashes) - 1];
            last_confusion = std::max(last_confusion, last_counted + guarantees_.confusion_time);
            const core::instant known = last_counted + guarantees_.quarantine_time;
            const auto late = std::count_if(times.begin(), times.end(), [&](core::instant at) {
                return at > known && is_undisturbed(at - guarantees_.quarantine_time, at);
            });
            if (times.size() >= guarantees_.deadly_crashes &&
                static_cast<std::size_t>(late) > guarantees_.late_deadly_crashes) {
                add_violation("still crashing runners: ", kind.first, " ", late, " of ",
                              times.size(), " too late");
            }
        }
        check_sound_requests(last_confusion);
    }

    void check_drain()
    {
        std::map<std::string, core::instant> leaving;
        for (const standin::runner_report& report : observations_.reports) {
            if (report.kind == report_event::leaving) {
                leaving.emplace(report.runner, report.at);
            }
            const auto found = leaving.find(report.runner);
            if (report.kind == report_event::began && found != leaving.end() &&
                report.at > found->second + guarantees_.drain_limit &&
                is_undisturbed(found->second, report.at)) {
                add_violation("sent to a leaving runner: ", report.request, " at ", report.runner);
            }
        }
    }

    /// @return true if the answer shows that its process knew the route of the revision
    [[nodiscard]] static bool shows_route(const call_record& probe)
    {
        constexpr int not_found = 404;
        // A process that has just started knows no route.
        return probe.status != not_found &&
               probe.body.find(relay::unconfigured_problem) == std::string::npos;
    }

    /// A process that has served the route of a revision must not answer later that the route is
    /// unknown.
    void check_configuration()
    {
        constexpr int not_found = 404;
        std::map<std::pair<std::size_t, std::uint64_t>, const call_record*> known;
        std::vector<const call_record*> probes;
        for (const call_record& call : observations_.calls) {
            if (call.kind == call_kind::probe && call.status != 0) {
                probes.push_back(&call);
            }
        }
        std::sort(probes.begin(), probes.end(),
                  [](const call_record* left, const call_record* right) {
                      return left->ended_at < right->ended_at;
                  });
        for (const call_record* probe : probes) {
            const std::pair process{probe->instance, probe->process};
            const auto found = known.find(process);
            if (shows_route(*probe)) {
                if (found == known.end() || found->second->revision < probe->revision) {
                    known.insert_or_assign(process, probe);
                }
            }
            else if (probe->status == not_found && found != known.end() &&
                     probe->revision <= found->second->revision &&
                     probe->sent_at > found->second->ended_at) {
                add_violation("configuration reverted: instance ", probe->instance, " revision ",
                              probe->revision, " after ", found->second->revision, ", ", probe->id,
                              " after ", found->second->id, " with status ", found->second->status);
            }
        }
    }
};

} // namespace

std::vector<std::string> find_violations(const observations& observed,
                                         const guarantee_settings& guarantees)
{
    return violation_finder{observed, guarantees}.run();
}

} // namespace cyclamen::soak
