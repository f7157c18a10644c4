#include "soak/verdict.hpp"

#include <algorithm>
#include <map>

#include "core/text.hpp"

namespace cyclamen::soak {

namespace {

using report_event = standin::runner_report::event;

constexpr int first_success = 200;
constexpr int first_redirect = 300;

/// Statuses that promise that a request has not run and never will.
bool promises_not_run(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

bool is_success(int status)
{
    return status >= first_success && status < first_redirect;
}

/// Collects what is broken, and says of which request.
class judge {
  public:
    judge(const evidence& seen, const promise_settings& promises) : seen_{seen}, promises_{promises}
    {
        for (const standin::runner_report& each : seen.reports) {
            reports_[each.request].push_back(&each);
        }
    }

    std::vector<std::string> run()
    {
        for (const call_record& each : seen_.calls) {
            check_answer(each);
            check_runs(each);
            check_cancel(each);
        }
        check_drain();
        check_configuration();
        return std::move(violations_);
    }

  private:
    const evidence& seen_;
    const promise_settings& promises_;
    std::map<std::string, std::vector<const standin::runner_report*>> reports_;
    std::vector<std::string> violations_;

    template <class... Parts>
    void violate(const Parts&... parts)
    {
        violations_.push_back(core::concat(parts...));
    }

    [[nodiscard]] bool is_calm(core::instant from, core::instant to) const
    {
        return std::none_of(seen_.disturbances.begin(), seen_.disturbances.end(),
                            [&](const disturbance& each) {
                                return each.from <= to && each.to + promises_.settle >= from;
                            });
    }

    void check_answer(const call_record& call)
    {
        if (!is_success(call.status) || call.kind == call_kind::probe) {
            return;
        }
        if (call.seal.empty()) {
            violate("unsigned success: ", call.id);
        }
        if (call.kind == call_kind::stream) {
            check_stream(call);
        }
        else if (call.whole && call.body != standin::answer_content(call.seed, 0)) {
            violate("wrong body: ", call.id);
        }
        if (call.whole && call.answered_id != call.id) {
            violate("answer of another request: ", call.id, " got ", call.answered_id);
        }
    }

    void check_stream(const call_record& call)
    {
        std::uint64_t expected = call.after;
        std::string_view left = call.body;
        for (std::size_t end = left.find("\n\n"); end != std::string_view::npos;
             end = left.find("\n\n")) {
            ++expected;
            const std::string wanted = core::concat(
                "id: ", expected, "\ndata: ", standin::answer_content(call.seed, expected));
            if (left.substr(0, end) != wanted) {
                violate("stream out of order: ", call.id, " at event ", expected);
                return;
            }
            left.remove_prefix(end + 2);
        }
        if (call.whole && expected != promises_.stream_events) {
            violate("stream ended as whole before its end: ", call.id, " at event ", expected);
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
            violate("ran twice: ", call.id);
        }
        if (promises_not_run(call.status) && call.kind == call_kind::unsafe && !runs.empty()) {
            violate("refused though it has run: ", call.id, " status ", call.status);
        }
        const auto fresh = std::count_if(runs.begin(), runs.end(),
                                         [](const auto* each) { return !each->from_copy; });
        if (static_cast<std::uint64_t>(fresh) > promises_.most_runs) {
            violate("ran too often: ", call.id, " ", fresh, " times");
        }
    }

    void check_cancel(const call_record& call)
    {
        const core::instant due = call.ended + promises_.cancel;
        if (!call.left || !is_calm(call.sent, due)) {
            return;
        }
        const auto found = reports_.find(call.id);
        if (found == reports_.end()) {
            return;
        }
        std::int64_t open = 0;
        for (const auto* each : found->second) {
            if (each->at <= due) {
                open += each->kind == report_event::began ? 1 : -1;
            }
        }
        if (open > 0) {
            violate("still runs after its caller left: ", call.id);
        }
    }

    void check_drain()
    {
        std::map<std::string, core::instant> leaving;
        for (const standin::runner_report& each : seen_.reports) {
            if (each.kind == report_event::leaving) {
                leaving.emplace(each.runner, each.at);
            }
            const auto left = leaving.find(each.runner);
            if (each.kind == report_event::began && left != leaving.end() &&
                each.at > left->second + promises_.drain && is_calm(left->second, each.at)) {
                violate("sent to a runner that leaves: ", each.request, " at ", each.runner);
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
        for (const call_record& each : seen_.calls) {
            if (each.kind == call_kind::probe && each.status != 0) {
                probes.push_back(&each);
            }
        }
        std::sort(probes.begin(), probes.end(),
                  [](const call_record* left, const call_record* right) {
                      return left->ended < right->ended;
                  });
        for (const call_record* each : probes) {
            const std::pair process{each->instance, each->process};
            const auto found = known.find(process);
            if (each->status != not_found) {
                const bool newer = found == known.end() || found->second.first < each->revision;
                if (newer) {
                    known.insert_or_assign(process, std::pair{each->revision, each->ended});
                }
            }
            else if (found != known.end() && each->revision <= found->second.first &&
                     each->sent > found->second.second) {
                violate("configuration went back: instance ", each->instance, " revision ",
                        each->revision, " after ", found->second.first);
            }
        }
    }
};

} // namespace

std::vector<std::string> find_violations(const evidence& seen, const promise_settings& promises)
{
    return judge{seen, promises}.run();
}

} // namespace cyclamen::soak
