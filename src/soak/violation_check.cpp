#include "soak/violation_check.hpp"

#include <algorithm>
#include <map>

#include "core/text.hpp"

namespace cyclamen::soak {

namespace {

using report_event = standin::runner_report::event;

constexpr int first_success = 200;
constexpr int first_redirect = 300;

/// Statuses that promise that a request has not run and never will.
bool guarantees_not_run(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

bool is_success(int status)
{
    return status >= first_success && status < first_redirect;
}

/// Collects what is broken, and says of which request.
class violation_finder {
  public:
    violation_finder(const observations& observed, const guarantee_settings& guarantees)
        : observations_{observed}, guarantees_{guarantees}
    {
        for (const standin::runner_report& each : observed.reports) {
            reports_[each.request].push_back(&each);
        }
    }

    std::vector<std::string> run()
    {
        for (const call_record& each : observations_.calls) {
            check_answer(each);
            check_runs(each);
            check_cancel(each);
        }
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
            add_violation("stream ended as whole before its end: ", call.id, " at event ",
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
            add_violation("refused though it has run: ", call.id, " status ", call.status);
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
        if (!call.abandoned || !is_undisturbed(call.sent_at, deadline)) {
            return;
        }
        const auto found = reports_.find(call.id);
        if (found == reports_.end()) {
            return;
        }
        std::int64_t open_runs = 0;
        for (const auto* each : found->second) {
            if (each->at <= deadline) {
                open_runs += each->kind == report_event::began ? 1 : -1;
            }
        }
        if (open_runs > 0) {
            add_violation("still runs after its caller left: ", call.id);
        }
    }

    void check_drain()
    {
        std::map<std::string, core::instant> leaving;
        for (const standin::runner_report& each : observations_.reports) {
            if (each.kind == report_event::leaving) {
                leaving.emplace(each.runner, each.at);
            }
            const auto found = leaving.find(each.runner);
            if (each.kind == report_event::began && found != leaving.end() &&
                each.at > found->second + guarantees_.drain_limit &&
                is_undisturbed(found->second, each.at)) {
                add_violation("sent to a runner that leaves: ", each.request, " at ", each.runner);
            }
        }
    }

    /// A process that has served a route of a revision may not say later that there is none.
    void check_configuration()
    {
        constexpr int not_found = 404;
        std::map<std::pair<std::size_t, std::uint64_t>, std::pair<std::uint64_t, core::instant>>
            known;
        std::vector<const call_record*> probes;
        for (const call_record& each : observations_.calls) {
            if (each.kind == call_kind::probe && each.status != 0) {
                probes.push_back(&each);
            }
        }
        std::sort(probes.begin(), probes.end(),
                  [](const call_record* left, const call_record* right) {
                      return left->ended_at < right->ended_at;
                  });
        for (const call_record* each : probes) {
            const std::pair process{each->instance, each->process};
            const auto found = known.find(process);
            if (each->status != not_found) {
                const bool is_newer = found == known.end() || found->second.first < each->revision;
                if (is_newer) {
                    known.insert_or_assign(process, std::pair{each->revision, each->ended_at});
                }
            }
            else if (found != known.end() && each->revision <= found->second.first &&
                     each->sent_at > found->second.second) {
                add_violation("configuration went back: instance ", each->instance, " revision ",
                              each->revision, " after ", found->second.first);
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
